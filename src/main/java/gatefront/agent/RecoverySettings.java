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
 * The table {@code [recovery]}: what an agent keeps over its death, and when it is believed again.
 *
 * @param folder of the store
 * @param instance whose it is
 * @param bounds how old what is kept may be
 * @param markMicros how often it is written that the instance is there
 * @param without guards that a rehearsal has switched off
 * @param clockOff by how much a rehearsal has set the time of day off, in microseconds
 */
record RecoverySettings(
        Path folder,
        String instance,
        StateValidator.Bounds bounds,
        long markMicros,
        Set<Guard> without,
        long clockOff) {
    private static final double DOUBT = 30;
    private static final double LIST = 600;
    private static final double AHEAD = 5;
    private static final double MARK = 1;
    private static final double DAY = 86_400;

    /** What a rehearsal can switch off, to see that its judge finds it. */
    enum Guard {
        /** Calls by hand are known again after a restart. */
        KEPT_BANS,
        /** That they are lost is told. */
        NAMED_LOSS,
        /** Nothing is sent on after a standstill before the list has been heard. */
        WAKING;

        String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    static RecoverySettings read(TomlTable table, TomlTable rehearsal) throws TomlException {
        String instance = table.text("instance", null);
        if (!instance.matches(EntryId.INSTANCE_PATTERN)) {
            throw table.bad("instance", "is to be letters, digits, dots and dashes, 64 at the most");
        }
        double mark = table.number("mark_s", MARK, 0.05, 60);
        double doubt = table.number("doubt_s", DOUBT, 0.1, DAY);
        if (2 * mark > doubt) {
            throw table.bad("doubt_s", "is to be twice mark_s at least, else every start is doubted");
        }
        Set<Guard> without = new HashSet<>();
        List<String> words = List.of(Guard.values()).stream().map(Guard::word).toList();
        for (String each : rehearsal.texts("without")) {
            if (!words.contains(each)) {
                throw rehearsal.bad("without", "\"" + each + "\" is none of " + String.join(", ", words));
            }
            without.add(Guard.values()[words.indexOf(each)]);
        }
        return new RecoverySettings(
                Path.of(table.text("folder", null)),
                instance,
                new StateValidator.Bounds(
                        (long) (1e6 * doubt), (long) (1e6 * table.number("list_s", LIST, 0, 30 * DAY)), (long)
                                (1e6 * AHEAD)),
                (long) (1e6 * mark),
                Set.copyOf(without),
                (long) (1e6 * rehearsal.number("clock_s", 0.0, -30 * DAY, 30 * DAY)));
    }
}
