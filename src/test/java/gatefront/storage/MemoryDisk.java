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
 * An in-memory disk that can lose power at any step. Forced file contents and names survive a power loss. Of each page
 * written since the last force, the old content, the new content, or the first half new and the rest old survives; of
 * each name change since then, all or nothing. A failed force marks its pages clean: reads return their new content,
 * but no later force writes them.
 */
final class MemoryDisk implements Disk {
    private static final int PAGE = 64;

    /** The faults that can be injected at a step. */
    enum Fault {
        NONE,
        POWER,
        WRITE_FAILS,
        HALF_WRITTEN,
        SYNC_FAILS,
        FULL
    }

    /** Signals that the machine has lost power. */
    static final class PowerException extends IOException {
        private static final long serialVersionUID = 1;
    }

    /** The contents of a file as programs see them, and as they are on the disk. */
    private static final class Data {
        byte[] visible = {};
        byte[] durable = {};
        /** Pages written since the last force. */
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

    /** A change of names that has not been forced. */
    private record NameChange(String from, String to, Data data) {}

    private Map<String, Data> names = new HashMap<>();
    private Map<String, Data> durableNames = new HashMap<>();
    private final List<NameChange> unsyncedNameChanges = new ArrayList<>();
    private final Random random;
    private boolean locked;
    private boolean poweredOff;
    /** The number of steps so far: writes, forces, moves, deletions and new files. */
    int steps;
    /** The step at which {@link #fault} occurs; -1 for none. */
    int faultStep = -1;

    Fault fault = Fault.NONE;
    /** While set, every operation that needs disk space fails. */
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

    /** Restarts the machine; of data and names that were not forced, a random part survives. */
    void restart() {
        Map<String, Data> survived = new HashMap<>(durableNames);
        for (NameChange change : unsyncedNameChanges) {
            if (random.nextBoolean()) {
                survived.remove(change.from);
                if (change.to != null) {
                    survived.put(change.to, change.data);
                }
            }
        }
        for (Data data : survived.values()) {
            for (int page : data.dirtyPages.keySet()) {
                int outcome = random.nextInt(4);
                if (outcome != 0) {
                    data.persist(page, outcome == 1 ? PAGE / 2 : PAGE);
                }
            }
            data.dirtyPages.clear();
            data.visible = data.durable.clone();
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

    /** Inverts one bit of a file. */
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
                data.write(
                        offset,
                        contents,
                        random.nextInt(contents.length + 1)); // a random part was written before the power failed
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
                for (int page : data.dirtyPages.keySet()) { // a random part is written, and the rest is never retried
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
