package gatefront.storage;

import java.io.IOException;

/** Who is told what a store holds, in order: first what the snapshot has, then each record since. */
public interface RecordConsumer {
    /** One that wants nothing. */
    RecordConsumer IGNORE = new RecordConsumer() {
        @Override
        public void snapshot(byte[] record) {}

        @Override
        public void record(long number, byte[] record) {}
    };

    /** A record of the snapshot. */
    void snapshot(byte[] record) throws IOException;

    /** A record of the log, with its number. */
    void record(long number, byte[] record) throws IOException;
}
