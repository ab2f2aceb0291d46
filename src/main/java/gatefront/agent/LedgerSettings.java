package gatefront.agent;

import gatefront.ledger.EntryId;
import gatefront.toml.TomlException;
import gatefront.toml.TomlTable;
import java.nio.file.Path;

/**
 * The settings of the table {@code [ledger]}: where and how often usage by municipio is written.
 *
 * @param directory the directory of the ledger
 * @param instance the agent instance that owns the ledger
 * @param keys the file of signing keys, or null
 * @param periodMicros the length of a period, in microseconds
 * @param writeMicros the interval between writes, in microseconds; a crash loses at most the usage of one interval
 * @param maxBytes the maximum size of the ledger on disk
 */
record LedgerSettings(Path directory, String instance, Path keys, long periodMicros, long writeMicros, long maxBytes) {
    private static final double DAY_SECONDS = 86_400;
    private static final double DEFAULT_WRITE_SECONDS = 10;
    private static final double DEFAULT_DISK_MB = 1_024;
    private static final double MAX_DISK_MB = 1 << 20;

    static LedgerSettings read(TomlTable table) throws TomlException {
        String instance = table.text("instance", null);
        if (!instance.matches(EntryId.INSTANCE_PATTERN)) {
            throw table.invalid("instance", "must be letters, digits, dots and dashes, at most 64");
        }
        double periodSeconds = table.number("period_s", DAY_SECONDS, 1, 366 * DAY_SECONDS);
        double writeSeconds = table.number("write_s", DEFAULT_WRITE_SECONDS, 0.1, DAY_SECONDS);
        if (2 * writeSeconds > periodSeconds) {
            throw table.invalid("write_s", "must be at most half of period_s, so that a period is written in time");
        }
        String keys = table.text("keys", "");
        return new LedgerSettings(
                Path.of(table.text("folder", null)),
                instance,
                keys.isEmpty() ? null : Path.of(keys),
                (long) (1e6 * periodSeconds),
                (long) (1e6 * writeSeconds),
                (long) (table.number("disk_mb", DEFAULT_DISK_MB, 1, MAX_DISK_MB) * (1 << 20)));
    }
}
