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

/** Faults that are injected into the folder of an agent while its process is not running. */
public final class FolderFaults {
    private FolderFaults() {}

    /** Deletes a folder with its contents, read-only folders included. Does nothing if the folder does not exist. */
    public static void delete(Path folder) throws IOException {
        if (!Files.exists(folder)) {
            return;
        }
        Files.walkFileTree(folder, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult preVisitDirectory(Path directory, BasicFileAttributes attributes) {
                directory.toFile().setWritable(true);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
                Files.delete(file);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult postVisitDirectory(Path directory, IOException failure) throws IOException {
                Files.delete(directory);
                return FileVisitResult.CONTINUE;
            }
        });
    }

    /**
     * Replaces a folder with a copy of another one. A file that disappears during the copy is left out, as in a copy of
     * a folder that is in use.
     */
    public static void copy(Path from, Path to) throws IOException {
        delete(to);
        List<Path> paths;
        try (Stream<Path> files = Files.walk(from)) {
            paths = files.toList();
        }
        for (Path path : paths) {
            Path copy = to.resolve(from.relativize(path).toString());
            if (Files.isDirectory(path)) {
                Files.createDirectories(copy);
            } else if (Files.exists(path)) {
                Files.copy(path, copy, StandardCopyOption.REPLACE_EXISTING);
            }
        }
    }

    /** Returns the most recently modified file in a folder that is not empty, or null if there is none. */
    public static Path newestFile(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(
                            file -> Files.isRegularFile(file) && file.toFile().length() > 0)
                    .max(Comparator.comparingLong((Path file) -> file.toFile().lastModified())
                            .thenComparing(Comparator.naturalOrder()))
                    .orElse(null);
        }
    }

    /** Cuts the last quarter off the newest file of a folder, as a torn write does. */
    public static void truncateNewestFile(Path folder) throws IOException {
        Path file = newestFile(folder);
        if (file != null) {
            byte[] bytes = Files.readAllBytes(file);
            Files.write(file, java.util.Arrays.copyOf(bytes, bytes.length - Math.max(1, bytes.length / 4)));
        }
    }

    /**
     * Inverts one bit in the first half of the newest file of a folder; the number selects the bit. A store cannot tell
     * a changed bit in the last frame of its log from a write that a crash cut off, and reports no damage.
     */
    public static void flipBitInNewestFile(Path folder, long bitSelector) throws IOException {
        Path file = newestFile(folder);
        if (file != null) {
            byte[] bytes = Files.readAllBytes(file);
            long candidates = Math.max(1, bytes.length / 2);
            bytes[(int) Math.floorMod(bitSelector, candidates)] ^= (byte) (1 << Math.floorMod(bitSelector, 8));
            Files.write(file, bytes);
        }
    }
}
