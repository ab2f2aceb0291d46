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
        byte[] visible = {};
        byte[] durable = {};
        /** Pages that were written since, and are to be forced. */
        final TreeMap<Integer, Boolean> dirtyPages = new TreeMap<>();

        void write(long offset, byte[] bytes, int length) {
            if (length == 0) {
                return;
            }
            int end = (int) offset + length;
            visible = visible.length < end ? Arrays.copyOf(visible, end) : visible;
            System.arraycopy(bytes, 0, visible, (int) offset, length);
            for (int page = (int) offset / PAGE; page <= (end - 1) / PAGE; page++) {
                dirtyPages.put(page, true);
            }
        }

        void persist(int page, int length) {
            int start = page * PAGE;
            int end = Math.min(visible.length, start + length);
            durable = durable.length < end ? Arrays.copyOf(durable, end) : durable;
            if (end > start) {
                System.arraycopy(visible, start, durable, start, end - start);
            }
        }
    }

    /** Something done to names since they were forced. */
    private record NameChange(String from, String to, Data data) {}

    private Map<String, Data> names = new HashMap<>();
    private Map<String, Data> durableNames = new HashMap<>();
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();
    private final Random random;
    private boolean locked;
    private boolean poweredOff;
    /** Steps taken: writes, forces, moves, removals and new files. */
    int steps;
    /** The step at which something goes wrong, and what. */
    int faultStep = -1;

    Fault fault = Fault.NONE;
    /** While set, nothing that takes room goes well. */
    boolean full;

    MemoryDisk(long seed) {
        random = new Random(seed);
    }

    private Fault step() throws IOException {
        if (poweredOff) {
            throw new PowerException();
        }
        Fault stepFault = steps++ == faultStep ? fault : Fault.NONE;
        if (stepFault == Fault.POWER) {
            poweredOff = true;
            throw new PowerException();
        }
        full |= stepFault == Fault.FULL;
        return stepFault;
    }

    /** The machine is started again: what has survived is there, by chance where it was not forced. */
    void restart() {
        Map<String, Data> survived = new HashMap<>(durableNames);
        for (NameChange each : unsyncedNameChanges) {
            if (random.nextBoolean()) {
                survived.remove(each.from);
                if (each.to != null) {
                    survived.put(each.to, each.data);
                }
            }
        }
        for (Data each : survived.values()) {
            for (int page : each.dirtyPages.keySet()) {
                int outcome = random.nextInt(4);
                if (outcome != 0) {
                    each.persist(page, outcome == 1 ? PAGE / 2 : PAGE);
                }
            }
            each.dirtyPages.clear();
            each.visible = each.durable.clone();
        }
        names = survived;
        durableNames = new HashMap<>(survived);
        unsyncedNameChanges.clear();
        locked = false;
        poweredOff = false;
        full = false;
        faultStep = -1;
    }

    boolean isOff() {
        return poweredOff;
    }

    /** Changes one bit of a file. */
    void flipBit(String name, int offset, int bit) {
        names.get(name).visible[offset] ^= 1 << bit;
        names.get(name).durable[offset] ^= 1 << bit;
    }

    int size(String name) {
        return names.get(name).visible.length;
    }

    @Override
    public List<String> names() throws IOException {
        if (poweredOff) {
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
        unsyncedNameChanges.add(new NameChange(name, name, data));
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
        unsyncedNameChanges.add(new NameChange(from, to, data));
    }

    @Override
    public void delete(String name) throws IOException {
        step();
        if (names.remove(name) != null) {
            unsyncedNameChanges.add(new NameChange(name, null, null));
        }
    }

    @Override
    public void syncNames() throws IOException {
        if (step() == Fault.SYNC_FAILS) {
            throw new IOException("Input/output error");
        }
        durableNames = new HashMap<>(names);
        unsyncedNameChanges.clear();
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
        public void write(long offset, ByteBuffer bytes) throws IOException {
            byte[] contents = new byte[bytes.remaining()];
            bytes.get(contents);
            Fault stepFault;
            try {
                stepFault = step();
            } catch (PowerException e) {
                data.write(offset, contents, random.nextInt(contents.length + 1)); // as far as it came
                throw e;
            }
            if (full || stepFault == Fault.WRITE_FAILS) {
                throw new IOException(full ? "No space left on device" : "Input/output error");
            }
            if (stepFault == Fault.HALF_WRITTEN) {
                data.write(offset, contents, contents.length / 2);
                throw new IOException("Input/output error");
            }
            data.write(offset, contents, contents.length);
        }

        @Override
        public int read(long offset, ByteBuffer into) throws IOException {
            if (poweredOff) {
                throw new PowerException();
            }
            int length = (int) Math.max(0, Math.min(into.remaining(), data.visible.length - offset));
            into.put(data.visible, (int) Math.min(offset, data.visible.length), length);
            return length;
        }

        @Override
        public long size() {
            return data.visible.length;
        }

        @Override
        public void sync() throws IOException {
            if (step() == Fault.SYNC_FAILS) {
                for (int page : data.dirtyPages.keySet()) { // some came there, and none is tried again
                    if (random.nextBoolean()) {
                        data.persist(page, PAGE);
                    }
                }
                data.dirtyPages.clear();
                throw new IOException("Input/output error");
            }
            data.dirtyPages.keySet().forEach(page -> data.persist(page, PAGE));
            data.dirtyPages.clear();
        }

        @Override
        public void close() {}
    }
}
