package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A {@link Disk} backed by a directory of the file system. */
public final class DirectoryDisk implements Disk {
    private static final String LOCK_FILE = "lock";

    private final Path folder;

    /** Opens a directory, creating it if it does not exist; its parent must exist. */
    public DirectoryDisk(Path folder) throws IOException {
        this.folder = folder;
        if (!Files.isDirectory(folder)) {
            Files.createDirectory(folder);
            syncFolder(folder.toAbsolutePath().getParent());
        }
    }

    /** Opens a directory that must already exist, for read-only use. */
    public static DirectoryDisk existing(Path folder) throws IOException {
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is not a directory");
        }
        return new DirectoryDisk(folder);
    }

    @Override
    public List<String> names() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(name -> name.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE))
                    .toList();
        }
    }

    @Override
    public File create(String name) throws IOException {
        return new Channel(FileChannel.open(
                folder.resolve(name),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING));
    }

    @Override
    public File open(String name) throws IOException {
        return new Channel(FileChannel.open(folder.resolve(name), StandardOpenOption.READ));
    }

    @Override
    public void move(String from, String to) throws IOException {
        Files.move(
                folder.resolve(from),
                folder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void syncNames() throws IOException {
        syncFolder(folder);
    }

    private static void syncFolder(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public Closeable lock() throws IOException {
        FileChannel file =
                FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = file.tryLock();
        } catch (OverlappingFileLockException e) {
            // Another owner in this process holds the lock; lock stays null.
        } finally {
            if (lock == null) {
                file.close();
            }
        }
        return lock == null ? null : file;
    }

    /** A file accessed through its channel. */
    private record Channel(FileChannel channel) implements File {
        @Override
        public void write(long offset, ByteBuffer bytes) throws IOException {
            long position = offset;
            while (bytes.hasRemaining()) {
                position += channel.write(bytes, position);
            }
        }

        @Override
        public int read(long offset, ByteBuffer into) throws IOException {
            int total = 0;
            while (into.hasRemaining()) {
                int count = channel.read(into, offset + total);
                if (count < 0) {
                    break;
                }
                total += count;
            }
            return total;
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
