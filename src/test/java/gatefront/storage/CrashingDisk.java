package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** Gives tests of other packages access to the in-memory disk and its simulated power losses. */
public final class CrashingDisk implements Disk {
    private final MemoryDisk disk;

    /** Creates an empty disk. */
    public CrashingDisk(long seed) {
        disk = new MemoryDisk(seed);
    }

    /** Makes the power fail after this number of further steps. */
    public void losePowerAfter(int steps) {
        disk.fault = MemoryDisk.Fault.POWER;
        disk.faultStep = disk.steps + steps;
    }

    /** Returns whether the power has failed. */
    public boolean isOff() {
        return disk.isOff();
    }

    /** Restarts the machine. */
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
