package gatefront.agent;

import gatefront.ledger.EntryId;
import gatefront.toml.TomlException;
import gatefront.toml.TomlTable;
import java.nio.file.Path;

/**
 * The table {@code [ledger]}: where use by municipio is written, and how often.
 *
 * @param folder of the books
 * @param instance whose they are
 * @param keys the file of keys that sign them, or null
 * @param periodMicros how long a period is
 * @param writeMicros how often use is written; what a crash may lose of it
 * @param bytesMost what the books may take
 */
record LedgerSettings(Path folder, String instance, Path keys, long periodMicros, long writeMicros, long bytesMost) {
    private static final double DAY = 86_400;
    private static final double WRITE = 10;
    private static final double MEGABYTES = 1_024;
    private static final double MEGABYTES_MOST = 1 << 20;

    static LedgerSettings read(TomlTable table) throws TomlException {
        String instance = table.text("instance", null);
        if (!instance.matches(EntryId.INSTANCE_PATTERN)) {
            throw table.bad("instance", "is to be letters, digits, dots and dashes, 64 at the most");
        }
        double period = table.number("period_s", DAY, 1, 366 * DAY);
        double write = table.number("write_s", WRITE, 0.1, DAY);
        if (2 * write > period) {
            throw table.bad("write_s", "is to be half of period_s at the most, for a period to be written in time");
        }
        String keys = table.text("keys", "");
        return new LedgerSettings(
                Path.of(table.text("folder", null)),
                instance,
                keys.isEmpty() ? null : Path.of(keys),
                (long) (1e6 * period),
                (long) (1e6 * write),
                (long) (table.number("disk_mb", MEGABYTES, 1, MEGABYTES_MOST) * (1 << 20)));
    }
}
