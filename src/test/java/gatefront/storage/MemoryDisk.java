package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A disk in memory that can lose its power at any step. What survives then: of each file what was forced, and of each
 * page written since either what it was, what it is, or its first half new and the rest old; of names, what was forced
 * and any of what was done since, a move in one step. A force that fails leaves its pages clean in memory: reading
 * shows them, no later force writes them.
 */
final class MemoryDisk implements Disk {
    private static final int PAGE = 64;

    /** What a step is asked to do instead of what it should. */
    enum Fault {
        NONE,
        POWER,
        WRITE_FAILS,
        HALF_WRITTEN,
        SYNC_FAILS,
        FULL
    }

    /** The machine has lost its power. */
    static final class PowerException extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** Contents as programs see them, and as the disk has them. */
    private static final class Data {
        byte[] seen = {};
        byte[] forced = {};
        /** Pages that were written since, and are to be forced. */
        final TreeMap<Integer, Boolean> dirty = new TreeMap<>();

        void write(long at, byte[] bytes, int n) {
            if (n == 0) {
                return;
            }
            int until = (int) at + n;
            seen = seen.length < until ? Arrays.copyOf(seen, until) : seen;
            System.arraycopy(bytes, 0, seen, (int) at, n);
            for (int page = (int) at / PAGE; page <= (until - 1) / PAGE; page++) {
                dirty.put(page, true);
            }
        }

        void persist(int page, int n) {
            int from = page * PAGE;
            int until = Math.min(seen.length, from + n);
            forced = forced.length < until ? Arrays.copyOf(forced, until) : forced;
            if (until > from) {
                System.arraycopy(seen, from, forced, from, until - from);
            }
        }
    }

    /** Something done to names since they were forced. */
    private record Deed(String from, String to, Data data) {}

    private Map<String, Data> names = new HashMap<>();
    private Map<String, Data> forcedNames = new HashMap<>();
    private final List<Deed> deeds = new ArrayList<>();
    private final Random random;
    private boolean locked;
    private boolean off;
    /** Steps taken: writes, forces, moves, removals and new files. */
    int steps;
    /** The step at which something goes wrong, and what. */
    int faultAt = -1;

    Fault fault = Fault.NONE;
    /** While set, nothing that takes room goes well. */
    boolean full;

    MemoryDisk(long seed) {
        random = new Random(seed);
    }

    private Fault step() throws IOException {
        if (off) {
            throw new PowerException();
        }
        Fault now = steps++ == faultAt ? fault : Fault.NONE;
        if (now == Fault.POWER) {
            off = true;
            throw new PowerException();
        }
        full |= now == Fault.FULL;
        return now;
    }

    /** The machine is started again: what has survived is there, by chance where it was not forced. */
    void restart() {
        Map<String, Data> survived = new HashMap<>(forcedNames);
        for (Deed each : deeds) {
            if (random.nextBoolean()) {
                survived.remove(each.from);
                if (each.to != null) {
                    survived.put(each.to, each.data);
                }
            }
        }
        for (Data each : survived.values()) {
            for (int page : each.dirty.keySet()) {
                int kept = random.nextInt(4);
                if (kept != 0) {
                    each.persist(page, kept == 1 ? PAGE / 2 : PAGE);
                }
            }
            each.dirty.clear();
            each.seen = each.forced.clone();
        }
        names = survived;
        forcedNames = new HashMap<>(survived);
        deeds.clear();
        locked = false;
        off = false;
        full = false;
        faultAt = -1;
    }

    boolean isOff() {
        return off;
    }

    /** Changes one bit of a file. */
    void flip(String name, int at, int bit) {
        names.get(name).seen[at] ^= 1 << bit;
        names.get(name).forced[at] ^= 1 << bit;
    }

    int size(String name) {
        return names.get(name).seen.length;
    }

    @Override
    public List<String> names() throws IOException {
        if (off) {
            throw new PowerException();
        }
        return List.copyOf(names.keySet());
    }

    @Override
    public File create(String name) throws IOException {
        step();
        if (full) {
            throw new IOException("No space left on device");
        }
        Data data = new Data();
        names.put(name, data);
        deeds.add(new Deed(name, name, data));
        return new Handle(data);
    }

    @Override
    public File open(String name) throws IOException {
        if (!names.containsKey(name)) {
            throw new NoSuchFileException(name);
        }
        return new Handle(names.get(name));
    }

    @Override
    public void move(String from, String to) throws IOException {
        step();
        Data data = names.remove(from);
        names.put(to, data);
        deeds.add(new Deed(from, to, data));
    }

    @Override
    public void delete(String name) throws IOException {
        step();
        if (names.remove(name) != null) {
            deeds.add(new Deed(name, null, null));
        }
    }

    @Override
    public void syncNames() throws IOException {
        if (step() == Fault.SYNC_FAILS) {
            throw new IOException("Input/output error");
        }
        forcedNames = new HashMap<>(names);
        deeds.clear();
    }

    @Override
    public Closeable lock() throws IOException {
        if (locked) {
            return null;
        }
        locked = true;
        return () -> locked = false;
    }

    private final class Handle implements File {
        private final Data data;

        Handle(Data data) {
            this.data = data;
        }

        @Override
        public void write(long at, ByteBuffer bytes) throws IOException {
            byte[] all = new byte[bytes.remaining()];
            bytes.get(all);
            Fault now;
            try {
                now = step();
            } catch (PowerException e) {
                data.write(at, all, random.nextInt(all.length + 1)); // as far as it came
                throw e;
            }
            if (full || now == Fault.WRITE_FAILS) {
                throw new IOException(full ? "No space left on device" : "Input/output error");
            }
            if (now == Fault.HALF_WRITTEN) {
                data.write(at, all, all.length / 2);
                throw new IOException("Input/output error");
            }
            data.write(at, all, all.length);
        }

        @Override
        public int read(long at, ByteBuffer into) throws IOException {
            if (off) {
                throw new PowerException();
            }
            int n = (int) Math.max(0, Math.min(into.remaining(), data.seen.length - at));
            into.put(data.seen, (int) Math.min(at, data.seen.length), n);
            return n;
        }

        @Override
        public long size() {
            return data.seen.length;
        }

        @Override
        public void sync() throws IOException {
            if (step() == Fault.SYNC_FAILS) {
                for (int page : data.dirty.keySet()) { // some came there, and none is tried again
                    if (random.nextBoolean()) {
                        data.persist(page, PAGE);
                    }
                }
                data.dirty.clear();
                throw new IOException("Input/output error");
            }
            data.dirty.keySet().forEach(page -> data.persist(page, PAGE));
            data.dirty.clear();
        }

        @Override
        public void close() {}
    }
}
