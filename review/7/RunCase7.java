/** Starts the case, whose code is in common-2. It compiles on its own, as review/build.sh compiles each folder by itself. */
final class RunCase7 {
    private RunCase7() {}

    public static void main(String[] args) throws ReflectiveOperationException {
        Class.forName("Case7").getMethod("main", String[].class).invoke(null, (Object) args);
    }
}
