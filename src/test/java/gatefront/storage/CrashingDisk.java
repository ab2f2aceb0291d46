package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** The disk in memory that can lose its power, for tests of what is built on storage. */
public final class CrashingDisk implements Disk {
    private final MemoryDisk disk;

    /** An empty one. */
    public CrashingDisk(long seed) {
        disk = new MemoryDisk(seed);
    }

    /** The power goes at this step from now on. */
    public void losePowerAfter(int steps) {
        disk.fault = MemoryDisk.Fault.POWER;
        disk.faultStep = disk.steps + steps;
    }

    /** Whether it has gone. */
    public boolean isOff() {
        return disk.isOff();
    }

    /** The machine is started again. */
    public void restart() {
        disk.restart();
    }

    @Override
    public List<String> names() throws IOException {
        return disk.names();
    }

    @Override
    public File create(String name) throws IOException {
        return disk.create(name);
    }

    @Override
    public File open(String name) throws IOException {
        return disk.open(name);
    }

    @Override
    public void move(String from, String to) throws IOException {
        disk.move(from, to);
    }

    @Override
    public void delete(String name) throws IOException {
        disk.delete(name);
    }

    @Override
    public void syncNames() throws IOException {
        disk.syncNames();
    }

    @Override
    public Closeable lock() throws IOException {
        return disk.lock();
    }
}
