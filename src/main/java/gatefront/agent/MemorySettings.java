package gatefront.agent;

import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.config.Config;
import gatefront.toml.TomlException;
import gatefront.toml.TomlTable;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The settings of the table {@code [memory]}: the address of the status page and resource caps.
 *
 * @param status the address of the status page, or null if there is none
 * @param caps the caps that differ from the defaults, by purpose
 */
record MemorySettings(InetSocketAddress status, Map<ResourcePurpose, ResourceBudget.Cap> caps) {
    private static final int MAX_ENTRIES = 10_000_000;
    private static final double MAX_KIB = 1 << 24;

    static MemorySettings read(TomlTable table) throws TomlException {
        InetSocketAddress status = null;
        if (table.has("status")) {
            try {
                status = Config.address(table.text("status", null));
            } catch (IllegalArgumentException e) {
                throw table.invalid("status", "must be a literal address and a port, as in \"127.0.0.1:9191\"");
            }
            if (!status.getAddress().isLoopbackAddress()) {
                throw table.invalid("status", "must be a loopback address: the page has no access control");
            }
        }
        Map<ResourcePurpose, ResourceBudget.Cap> caps = new EnumMap<>(ResourcePurpose.class);
        List<String> words = Arrays.stream(ResourcePurpose.values())
                .map(ResourcePurpose::label)
                .toList();
        for (TomlTable capTable : table.tables("caps")) {
            ResourcePurpose purpose = ResourcePurpose.values()[words.indexOf(capTable.word("purpose", null, words))];
            int entries = capTable.integer("entries", -1, 1, MAX_ENTRIES);
            double kib = capTable.number("kib", -1.0, 1, MAX_KIB);
            if (purpose == ResourcePurpose.REGISTRY) {
                throw capTable.invalid("purpose", "the cap of registry is set by keys in [registry]");
            }
            if (entries >= 0 && !purpose.limitsEntries()) {
                throw capTable.invalid("entries", "does not apply to " + purpose.label() + ", which is capped by kib");
            }
            if (kib >= 0 && !purpose.limitsBytes()) {
                throw capTable.invalid("kib", "does not apply to " + purpose.label() + ", which is capped by entries");
            }
            if (entries < 0 && kib < 0) {
                throw capTable.invalid("entries", "is missing; a cap needs entries, kib or both");
            }
            if (caps.put(purpose, new ResourceBudget.Cap(entries, kib < 0 ? -1 : (long) (1024 * kib))) != null) {
                throw capTable.invalid("purpose", "\"" + purpose.label() + "\" appears more than once");
            }
        }
        return new MemorySettings(status, caps);
    }
}
