package gatefront.upgrade;

import gatefront.membership.ServerBans;
import java.io.IOException;
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
 * What two processes of one agent share in a folder while one takes over from the other: two locks, by which they know
 * of each other, and each one's bans in a file of its own. A lock goes with its process, however that ends. Owned by
 * the agent's loop; the files are small and in memory, so reading them there takes some microseconds.
 *
 * <p>State: the texts of others' files as last read, each dropped when its file is gone.
 */
public final class ProcessHandover {
    private static final String BAN_FILE_PREFIX = "gatefront-bans-";
    private static final String SERVING_LOCK_FILE = "gatefront-serves.lock";
    private static final String SUCCESSOR_LOCK_FILE = "gatefront-comes.lock";
    /** A longer file is none of ours. */
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
     * Takes its place in the folder.
     *
     * @param folder common to both processes
     * @param name of this process, not used by another
     * @param log gets a line for each file that is not believed
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
            return null; // another agent of this process has it
        }
    }

    /** Whether another process serves, and this one is to take over from it. */
    public boolean isSuccessor() {
        return servingLock == null;
    }

    /** Whether another process is there to take over from this one. */
    public boolean hasSuccessor() {
        if (servingLock == null) {
            return false;
        }
        try {
            FileLock free = tryLock(successorChannel);
            if (free != null) {
                free.release();
            }
            return free == null;
        } catch (IOException e) {
            logOnce(e);
            return false;
        }
    }

    /**
     * Looks at the folder: whether the other process has ended, and what bans it has told since.
     *
     * @return entries that have changed, to be merged
     */
    public Map<String, ServerBans.Entry> poll() {
        Map<String, ServerBans.Entry> told = new LinkedHashMap<>();
        Set<Path> there = new HashSet<>();
        try {
            if (servingLock == null) {
                // The other one tries this lock for a moment, to find out whether somebody has it.
                successorLock = successorLock == null ? tryLock(successorChannel) : successorLock;
                servingLock = tryLock(servingChannel);
                if (servingLock != null && successorLock != null) {
                    successorLock.release();
                    successorLock = null;
                }
            }
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, BAN_FILE_PREFIX + "*")) {
                for (Path each : files) {
                    if (!each.equals(ownFile) && !each.toString().endsWith(".new")) {
                        there.add(each);
                        read(each, told);
                    }
                }
            }
        } catch (NoSuchFileException e) {
            there.addAll(lastRead.keySet()); // one that goes just now; the next look has the rest
        } catch (IOException | DirectoryIteratorException e) {
            logOnce(new IOException(e));
        }
        lastRead.keySet().retainAll(there);
        return told;
    }

    /** Whether files of other processes were there at the last look. */
    public boolean hasOtherFiles() {
        return !lastRead.isEmpty();
    }

    private void read(Path file, Map<String, ServerBans.Entry> into) throws IOException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new IllegalArgumentException("too long");
            }
            // Not by its time: two calls may come within one tick of the clock that files are stamped with.
            String text = Files.readString(file);
            if (!text.equals(lastRead.put(file, text))) {
                into.putAll(BanFileFormat.read(text));
            }
        } catch (IllegalArgumentException | java.nio.charset.CharacterCodingException e) {
            log.accept("upgrade: " + file.getFileName() + " is not believed: " + e.getMessage());
        }
    }

    /** Tells the other process, and the next one, what bans there are. */
    public void publishBans(Map<String, ServerBans.Entry> entries) {
        Path fresh = folder.resolve(ownFile.getFileName() + ".new");
        try {
            Files.writeString(fresh, BanFileFormat.write(entries));
            Files.move(fresh, ownFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            logOnce(new IOException("bans cannot be written", e));
        }
    }

    /** Once alone: files of processes that have ended have been merged and told anew, and go. */
    public void deleteOtherFiles() {
        for (Path each : lastRead.keySet()) {
            try {
                Files.deleteIfExists(each);
            } catch (IOException e) {
                logOnce(e);
            }
        }
        lastRead.clear();
    }

    /** This process is about to end: its place is free, and what it has told stays. */
    public void close() {
        try {
            servingChannel.close();
            successorChannel.close();
        } catch (IOException e) {
            logOnce(e);
        }
    }

    /** Says it once: what is wrong with a folder is wrong at each look. */
    private void logOnce(IOException e) {
        String line = "upgrade: " + e;
        if (!line.equals(lastError)) {
            lastError = line;
            log.accept(line);
        }
    }
}
