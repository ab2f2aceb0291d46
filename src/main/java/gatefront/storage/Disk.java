package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One folder of files, as far as storage needs one. What is written is certain to survive a crash only once
 * {@link File#sync()} has returned, and a name (new, moved or gone) only once {@link #syncNames()} has.
 */
public interface Disk {
    /** A file; its contents are bytes at places. */
    interface File extends Closeable {
        /** Writes all of the bytes from a place on. */
        void write(long offset, ByteBuffer bytes) throws IOException;

        /** Reads into the buffer until it is full or the file ends; returns how many bytes came. */
        int read(long offset, ByteBuffer into) throws IOException;

        /** How long it is. */
        long size() throws IOException;

        /** Forces what was written to the disk. After it has failed once, nothing is known of what was not forced. */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** The names of all files, in any order. */
    List<String> names() throws IOException;

    /** A new, empty file; one of that name is replaced. */
    File create(String name) throws IOException;

    /** A file that is there, for reading. */
    File open(String name) throws IOException;

    /** Gives a file another name, in one step; one of that name is replaced. */
    void move(String from, String to) throws IOException;

    /** Removes a file; none of that name is no fault. */
    void delete(String name) throws IOException;

    /** Forces all names to the disk. */
    void syncNames() throws IOException;

    /** Keeps others out until it is closed; null if somebody else has it. */
    Closeable lock() throws IOException;
}
