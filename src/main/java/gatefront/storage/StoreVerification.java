package gatefront.storage;

import java.io.IOException;
import java.util.List;

/**
 * What the files of a store are worth, without changing any. A store in use may have an unfinished write at its end.
 *
 * @param there whether there is a store at all: an empty folder is not an empty store, which has a log
 * @param segments files of the log
 * @param records records that the log holds beyond the snapshot
 * @param snapshot the number of the first record that the snapshot does not hold; 0 without one
 * @param notes what was found that is no damage: a line each
 * @param damage the first damage, or null
 */
public record StoreVerification(
        boolean there, int segments, long records, long snapshot, List<String> notes, CorruptStoreException damage) {
    /** Reads all of a store. */
    public static StoreVerification of(Disk disk, SigningKeys keys, RecordConsumer replay) throws IOException {
        StoreReader scan = new StoreReader(disk, keys, replay);
        CorruptStoreException damage = null;
        try {
            scan.run();
        } catch (CorruptStoreException e) {
            damage = e;
        }
        return new StoreVerification(
                damage != null || !scan.nothing(),
                scan.segments.size(),
                Math.max(0, scan.next - scan.snapshotNext),
                scan.snapshotNext,
                List.copyOf(scan.notes),
                damage);
    }

    /** Whether nothing is amiss: a store without damage, and nothing beside it. */
    public boolean clean() {
        return there && damage == null && notes.isEmpty();
    }
}
