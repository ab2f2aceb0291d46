/** Starts the case, whose code is in common-2. It compiles on its own, as review/build.sh compiles each folder by itself. */
final class RunCase10 {
    private RunCase10() {}

    public static void main(String[] args) throws ReflectiveOperationException {
        Class.forName("Case10").getMethod("main", String[].class).invoke(null, (Object) args);
    }
}
