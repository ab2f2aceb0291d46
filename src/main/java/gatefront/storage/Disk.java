package gatefront.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The file operations of one directory that the store needs. Written data is guaranteed to survive a crash only once
 * {@link File#sync()} has returned, and a created, renamed or deleted name only once {@link #syncNames()} has.
 */
public interface Disk {
    /** A file with random access by byte offset. */
    interface File extends Closeable {
        /** Writes all remaining bytes of the buffer, starting at an offset of the file. */
        void write(long offset, ByteBuffer bytes) throws IOException;

        /** Reads into the buffer until it is full or the file ends; returns the number of bytes read. */
        int read(long offset, ByteBuffer into) throws IOException;

        /** Returns the length in bytes. */
        long size() throws IOException;

        /**
         * Forces written data to the disk. After a failure, the state of all data not forced before is undefined, and
         * a later successful call does not make it durable.
         */
        void sync() throws IOException;

        @Override
        void close() throws IOException;
    }

    /** Returns the names of all files, in any order. */
    List<String> names() throws IOException;

    /** Creates an empty file, replacing an existing one of that name. */
    File create(String name) throws IOException;

    /** Opens an existing file for reading. */
    File open(String name) throws IOException;

    /** Renames a file atomically, replacing an existing one of the new name. */
    void move(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Forces created, renamed and deleted names to the disk. */
    void syncNames() throws IOException;

    /** Acquires the exclusive lock, which is held until closed; returns null if it is already held. */
    Closeable lock() throws IOException;
}
