package gatefront.rehearsal.processes;

import java.io.IOException;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What can become of a folder while nobody is there who would notice. */
public final class FolderFaults {
    private FolderFaults() {}

    /** Removes a folder with all that is in it. */
    public static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        Files.walkFileTree(folder, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult preVisitDirectory(Path each, BasicFileAttributes of) {
                each.toFile().setWritable(true);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult visitFile(Path each, BasicFileAttributes of) throws IOException {
                Files.delete(each);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult postVisitDirectory(Path each, IOException failed) throws IOException {
                Files.delete(each);
                return FileVisitResult.CONTINUE;
            }
        });
    }

    /** Makes one folder as another is; a file that goes meanwhile is left out, as a copy of a folder in use has it. */
    public static void copy(Path from, Path to) throws IOException {
        delete(to);
        List<Path> all;
        try (Stream<Path> files = Files.walk(from)) {
            all = files.toList();
        }
        for (Path each : all) {
            Path made = to.resolve(from.relativize(each).toString());
            if (Files.isDirectory(each)) {
                Files.createDirectories(made);
            } else if (Files.exists(each)) {
                Files.copy(each, made, StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    /** Its newest file that holds something, or null. */
    public static Path newestFile(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(
                            each -> Files.isRegularFile(each) && each.toFile().length() > 0)
                    .max(Comparator.comparingLong((Path each) -> each.toFile().lastModified())
                            .thenComparing(Comparator.naturalOrder()))
                    .orElse(null);
        }
    }

    /** The last quarter of its newest file is missing. */
    public static void truncateNewestFile(Path folder) throws IOException {
        Path file = newestFile(folder);
        if (file != null) {
            byte[] bytes = Files.readAllBytes(file);
            Files.write(file, java.util.Arrays.copyOf(bytes, bytes.length - Math.max(1, bytes.length / 4)));
        }
    }

    /** One bit of its newest file is another; which one follows from a number. */
    public static void flipBitInNewestFile(Path folder, long which) throws IOException {
        Path file = newestFile(folder);
        if (file != null) {
            byte[] bytes = Files.readAllBytes(file);
            bytes[(int) Math.floorMod(which, (long) bytes.length)] ^= (byte) (1 << Math.floorMod(which, 8));
            Files.write(file, bytes);
        }
    }
}
