package gatefront.storage;

import java.io.IOException;
import java.util.List;

/**
 * The result of checking the files of a store without changing them. A store that is in use may have an unfinished
 * write at its end.
 *
 * @param exists whether there is a store at all; an empty directory is not an empty store, which has a log
 * @param segments the number of log segments
 * @param records the number of log records after the snapshot
 * @param snapshotNextRecord the number of the first record that the snapshot does not contain; 0 without a snapshot
 * @param notes findings that are not damage, one line each
 * @param damage the first damage found, or null
 */
public record StoreVerification(
        boolean exists,
        int segments,
        long records,
        long snapshotNextRecord,
        List<String> notes,
        CorruptStoreException damage) {
    /** Reads and checks a whole store, and passes its records to {@code replay}. */
    public static StoreVerification of(Disk disk, SigningKeys keys, RecordConsumer replay) throws IOException {
        StoreReader reader = new StoreReader(disk, keys, replay);
        CorruptStoreException damage = null;
        try {
            reader.run();
        } catch (CorruptStoreException e) {
            damage = e;
        }
        return new StoreVerification(
                damage != null || !reader.isEmpty(),
                reader.segments.size(),
                Math.max(0, reader.nextRecord - reader.snapshotNextRecord),
                reader.snapshotNextRecord,
                List.copyOf(reader.notes),
                damage);
    }

    /** Returns whether a store exists, is undamaged and has no notes. */
    public boolean clean() {
        return exists && damage == null && notes.isEmpty();
    }
}
