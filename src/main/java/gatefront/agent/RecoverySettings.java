package gatefront.agent;

import gatefront.ledger.EntryId;
import gatefront.recovery.StateValidator;
import gatefront.toml.TomlException;
import gatefront.toml.TomlTable;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The settings of the table {@code [recovery]}: what an agent stores across restarts, and when it is trusted again.
 *
 * @param directory the directory of the store
 * @param instance the agent instance that owns the store
 * @param bounds the maximum age of stored state
 * @param heartbeatMicros the interval at which the store records that the instance is alive, in microseconds
 * @param disabledGuards the guards that a rehearsal has switched off
 * @param clockOffsetMicros the offset that a rehearsal adds to the time of day, in microseconds
 */
record RecoverySettings(
        Path directory,
        String instance,
        StateValidator.Bounds bounds,
        long heartbeatMicros,
        Set<Guard> disabledGuards,
        long clockOffsetMicros) {
    private static final double DEFAULT_DOUBT_SECONDS = 30;
    private static final double DEFAULT_LIST_SECONDS = 600;
    private static final double MAX_CLOCK_LEAD_SECONDS = 5;
    private static final double DEFAULT_MARK_SECONDS = 1;
    private static final double DAY_SECONDS = 86_400;

    /** Guards that a rehearsal can switch off to verify that its checker detects the fault. */
    enum Guard {
        /** Manual drains are restored after a restart. */
        KEPT_BANS,
        /** The loss of stored manual drains is reported. */
        NAMED_LOSS,
        /** After a stall, requests are held until the server list is refreshed. */
        WAKING,
        /** What has arrived on a connection is read before its peer is judged by its silence. */
        ARRIVED_INPUT;

        /** Returns the name used in the settings. */
        String label() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    static RecoverySettings read(TomlTable table, TomlTable rehearsal) throws TomlException {
        String instance = table.text("instance", null);
        if (!instance.matches(EntryId.INSTANCE_PATTERN)) {
            throw table.invalid("instance", "must be letters, digits, dots and dashes, at most 64");
        }
        double markSeconds = table.number("mark_s", DEFAULT_MARK_SECONDS, 0.05, 60);
        double doubtSeconds = table.number("doubt_s", DEFAULT_DOUBT_SECONDS, 0.1, DAY_SECONDS);
        if (2 * markSeconds > doubtSeconds) {
            throw table.invalid(
                    "doubt_s", "must be at least twice mark_s, otherwise every start is treated as doubtful");
        }
        Set<Guard> disabledGuards = new HashSet<>();
        List<String> words = List.of(Guard.values()).stream().map(Guard::label).toList();
        for (String word : rehearsal.texts("without")) {
            if (!words.contains(word)) {
                throw rehearsal.invalid("without", "\"" + word + "\" is none of " + String.join(", ", words));
            }
            disabledGuards.add(Guard.values()[words.indexOf(word)]);
        }
        return new RecoverySettings(
                Path.of(table.text("folder", null)),
                instance,
                new StateValidator.Bounds(
                        (long) (1e6 * doubtSeconds),
                        (long) (1e6 * table.number("list_s", DEFAULT_LIST_SECONDS, 0, 30 * DAY_SECONDS)),
                        (long) (1e6 * MAX_CLOCK_LEAD_SECONDS)),
                (long) (1e6 * markSeconds),
                Set.copyOf(disabledGuards),
                (long) (1e6 * rehearsal.number("clock_s", 0.0, -30 * DAY_SECONDS, 30 * DAY_SECONDS)));
    }

    /** Returns whether a guard is in force. */
    boolean isEnabled(Guard guard) {
        return !disabledGuards.contains(guard);
    }
}
