package gatefront.upgrade;

import gatefront.membership.ServerBans;
import java.io.IOException;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The state that two processes of one agent share in a folder while one takes over from the other: two locks, by which
 * they detect each other, and a file with the manual drains of each process. A lock is released when its process ends,
 * however it ends. Confined to the agent's event loop; the files are small and in the page cache, so reading them there
 * takes a few microseconds.
 *
 * <p>State: the text of each file of another process as last read, removed when the file is gone.
 */
public final class ProcessHandover {
    private static final String BAN_FILE_PREFIX = "gatefront-bans-";
    private static final String SERVING_LOCK_FILE = "gatefront-serves.lock";
    private static final String SUCCESSOR_LOCK_FILE = "gatefront-comes.lock";
    /** The maximum file size; a longer file was not written by this program. */
    private static final long MAX_FILE_BYTES = 4 << 20;

    private final Path folder;
    private final Path ownFile;
    private final Consumer<String> log;
    private final FileChannel servingChannel;
    private final FileChannel successorChannel;
    private FileLock servingLock;
    private FileLock successorLock;
    private String lastError = "";
    private final Map<Path, String> lastRead = new HashMap<>();

    /**
     * Opens the shared folder and tries to acquire the serving lock, or else the lock of the successor.
     *
     * @param folder the folder shared by both processes
     * @param name the name of this process, which no other process uses
     * @param log receives a line for each file that is ignored
     * @throws IOException if the folder cannot be used
     */
    public ProcessHandover(Path folder, String name, Consumer<String> log) throws IOException {
        this.folder = folder;
        this.ownFile = folder.resolve(BAN_FILE_PREFIX + name);
        this.log = log;
        this.servingChannel = open(SERVING_LOCK_FILE);
        this.successorChannel = open(SUCCESSOR_LOCK_FILE);
        this.servingLock = tryLock(servingChannel);
        this.successorLock = servingLock == null ? tryLock(successorChannel) : null;
    }

    private FileChannel open(String name) throws IOException {
        return FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    private static FileLock tryLock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException e) {
            return null; // another agent in this JVM holds the lock
        }
    }

    /**
     * Maps a file into memory that both processes share. Its bytes are zeros at first.
     *
     * @param name name of the file
     * @param bytes its size
     * @throws IOException if it cannot be mapped
     */
    public MappedByteBuffer map(String name, int bytes) throws IOException {
        try (FileChannel file = FileChannel.open(
                folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return file.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
        }
    }

    /** Returns whether another process serves and this one is to take over from it. */
    public boolean isSuccessor() {
        return servingLock == null;
    }

    /** Returns whether another process is waiting to take over from this one. */
    public boolean hasSuccessor() {
        if (servingLock == null) {
            return false;
        }
        try {
            FileLock lock = tryLock(successorChannel);
            if (lock != null) {
                lock.release();
            }
            return lock == null;
        } catch (IOException e) {
            logOnce(e);
            return false;
        }
    }

    /**
     * Checks the folder: whether the other process has ended, and which manual drains it has published since.
     *
     * @return the entries of all files that have changed, to be merged
     */
    public Map<String, ServerBans.Entry> poll() {
        Map<String, ServerBans.Entry> changed = new LinkedHashMap<>();
        Set<Path> present = new HashSet<>();
        try {
            if (servingLock == null) {
                // Retried: the serving process briefly acquires this lock to find out whether it has a successor.
                successorLock = successorLock == null ? tryLock(successorChannel) : successorLock;
                servingLock = tryLock(servingChannel);
                if (servingLock != null && successorLock != null) {
                    successorLock.release();
                    successorLock = null;
                }
            }
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, BAN_FILE_PREFIX + "*")) {
                for (Path file : files) {
                    if (!file.equals(ownFile) && !file.toString().endsWith(".new")) {
                        present.add(file);
                        read(file, changed);
                    }
                }
            }
        } catch (NoSuchFileException e) {
            present.addAll(lastRead.keySet()); // a file was deleted during the listing; the next poll reads the rest
        } catch (IOException | DirectoryIteratorException e) {
            logOnce(new IOException(e));
        }
        lastRead.keySet().retainAll(present);
        return changed;
    }

    /** Returns whether files of other processes existed at the last poll. */
    public boolean hasOtherFiles() {
        return !lastRead.isEmpty();
    }

    private void read(Path file, Map<String, ServerBans.Entry> into) throws IOException {
        try {
            long size = Files.size(file);
            if (size > MAX_FILE_BYTES) {
                throw new IllegalArgumentException("file of " + size + " bytes, expected at most " + MAX_FILE_BYTES);
            }
            // Compared by content: two changes may fall within one tick of the file timestamps.
            String text = Files.readString(file);
            if (!text.equals(lastRead.put(file, text))) {
                into.putAll(BanFileFormat.read(text));
            }
        } catch (IllegalArgumentException | java.nio.charset.CharacterCodingException e) {
            log.accept("upgrade: " + file.getFileName() + " is ignored: " + e.getMessage());
        }
    }

    /** Publishes the manual drains to the other process and to later ones. */
    public void publishBans(Map<String, ServerBans.Entry> entries) {
        Path temporary = folder.resolve(ownFile.getFileName() + ".new");
        try {
            Files.writeString(temporary, BanFileFormat.write(entries));
            Files.move(temporary, ownFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            logOnce(new IOException("cannot write manual drains to " + ownFile, e));
        }
    }

    /**
     * Deletes the files of processes that have ended, once no other process is running; their entries have been merged
     * and published again by this process.
     */
    public void deleteOtherFiles() {
        for (Path file : lastRead.keySet()) {
            try {
                Files.deleteIfExists(file);
            } catch (IOException e) {
                logOnce(e);
            }
        }
        lastRead.clear();
    }

    /** Releases the locks of this process before it ends; its published file remains. */
    public void close() {
        try {
            servingChannel.close();
            successorChannel.close();
        } catch (IOException e) {
            logOnce(e);
        }
    }

    /** Logs an error unless it is the same as the last: a broken folder fails at each poll. */
    private void logOnce(IOException e) {
        String line = "upgrade: " + e;
        if (!line.equals(lastError)) {
            lastError = line;
            log.accept(line);
        }
    }
}
