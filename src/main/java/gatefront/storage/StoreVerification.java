package gatefront.storage;

import java.io.IOException;
import java.util.List;

/**
 * What the files of a store are worth, without changing any. A store in use may have an unfinished write at its end.
 *
 * @param exists whether there is a store at all: an empty folder is not an empty store, which has a log
 * @param segments files of the log
 * @param records records that the log holds beyond the snapshot
 * @param snapshotNextRecord the number of the first record that the snapshot does not hold; 0 without one
 * @param notes what was found that is no damage: a line each
 * @param damage the first damage, or null
 */
public record StoreVerification(
        boolean exists,
        int segments,
        long records,
        long snapshotNextRecord,
        List<String> notes,
        CorruptStoreException damage) {
    /** Reads all of a store. */
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

    /** Whether nothing is amiss: a store without damage, and nothing beside it. */
    public boolean clean() {
        return exists && damage == null && notes.isEmpty();
    }
}
