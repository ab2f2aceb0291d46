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
    private static final String BANS = "gatefront-bans-";
    private static final String SERVES = "gatefront-serves.lock";
    private static final String COMES = "gatefront-comes.lock";
    /** A longer file is none of ours. */
    private static final long FILE_MAX = 4 << 20;

    private final Path folder;
    private final Path own;
    private final Consumer<String> log;
    private final FileChannel serves;
    private final FileChannel comes;
    private FileLock serving;
    private FileLock coming;
    private String said = "";
    private final Map<Path, String> seen = new HashMap<>();

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
        this.own = folder.resolve(BANS + name);
        this.log = log;
        this.serves = open(SERVES);
        this.comes = open(COMES);
        this.serving = lock(serves);
        this.coming = serving == null ? lock(comes) : null;
    }

    private FileChannel open(String name) throws IOException {
        return FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    }

    private static FileLock lock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException e) {
            return null; // another agent of this process has it
        }
    }

    /** Whether another process serves, and this one is to take over from it. */
    public boolean follows() {
        return serving == null;
    }

    /** Whether another process is there to take over from this one. */
    public boolean followed() {
        if (serving == null) {
            return false;
        }
        try {
            FileLock free = lock(comes);
            if (free != null) {
                free.release();
            }
            return free == null;
        } catch (IOException e) {
            trouble(e);
            return false;
        }
    }

    /**
     * Looks at the folder: whether the other process has ended, and what bans it has told since.
     *
     * @return entries that have changed, to be merged
     */
    public Map<String, ServerBans.Entry> look() {
        Map<String, ServerBans.Entry> told = new LinkedHashMap<>();
        Set<Path> there = new HashSet<>();
        try {
            if (serving == null) {
                // The other one tries this lock for a moment, to find out whether somebody has it.
                coming = coming == null ? lock(comes) : coming;
                serving = lock(serves);
                if (serving != null && coming != null) {
                    coming.release();
                    coming = null;
                }
            }
            try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, BANS + "*")) {
                for (Path each : files) {
                    if (!each.equals(own) && !each.toString().endsWith(".new")) {
                        there.add(each);
                        read(each, told);
                    }
                }
            }
        } catch (NoSuchFileException e) {
            there.addAll(seen.keySet()); // one that goes just now; the next look has the rest
        } catch (IOException | DirectoryIteratorException e) {
            trouble(new IOException(e));
        }
        seen.keySet().retainAll(there);
        return told;
    }

    /** Whether files of other processes were there at the last look. */
    public boolean others() {
        return !seen.isEmpty();
    }

    private void read(Path file, Map<String, ServerBans.Entry> into) throws IOException {
        try {
            if (Files.size(file) > FILE_MAX) {
                throw new IllegalArgumentException("too long");
            }
            // Not by its time: two calls may come within one tick of the clock that files are stamped with.
            String text = Files.readString(file);
            if (!text.equals(seen.put(file, text))) {
                into.putAll(BanFileFormat.read(text));
            }
        } catch (IllegalArgumentException | java.nio.charset.CharacterCodingException e) {
            log.accept("upgrade: " + file.getFileName() + " is not believed: " + e.getMessage());
        }
    }

    /** Tells the other process, and the next one, what bans there are. */
    public void tell(Map<String, ServerBans.Entry> entries) {
        Path fresh = folder.resolve(own.getFileName() + ".new");
        try {
            Files.writeString(fresh, BanFileFormat.write(entries));
            Files.move(fresh, own, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            trouble(new IOException("bans cannot be written", e));
        }
    }

    /** Once alone: files of processes that have ended have been merged and told anew, and go. */
    public void tidy() {
        for (Path each : seen.keySet()) {
            try {
                Files.deleteIfExists(each);
            } catch (IOException e) {
                trouble(e);
            }
        }
        seen.clear();
    }

    /** This process is about to end: its place is free, and what it has told stays. */
    public void close() {
        try {
            serves.close();
            comes.close();
        } catch (IOException e) {
            trouble(e);
        }
    }

    /** Says it once: what is wrong with a folder is wrong at each look. */
    private void trouble(IOException e) {
        String line = "upgrade: " + e;
        if (!line.equals(said)) {
            said = line;
            log.accept(line);
        }
    }
}
