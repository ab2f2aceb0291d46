package gatefront.storage;

import java.io.IOException;

/** Receives the contents of a store in order: first the records of the snapshot, then the log records after it. */
public interface RecordConsumer {
    /** Ignores all records. */
    RecordConsumer IGNORE = new RecordConsumer() {
        @Override
        public void snapshot(byte[] record) {}

        @Override
        public void record(long number, byte[] record) {}
    };

    /** Receives a record of the snapshot. */
    void snapshot(byte[] record) throws IOException;

    /** Receives a record of the log with its number. */
    void record(long number, byte[] record) throws IOException;
}
