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
 * The table {@code [memory]}: where the status page listens, and other caps than the usual.
 *
 * @param status where the page is, or null if there is none
 * @param caps by purpose, those that are not the usual
 */
record MemorySettings(InetSocketAddress status, Map<ResourcePurpose, ResourceBudget.Cap> caps) {
    private static final int ENTRIES_MOST = 10_000_000;
    private static final double KIB_MOST = 1 << 24;

    static MemorySettings read(TomlTable table) throws TomlException {
        InetSocketAddress status = null;
        if (table.has("status")) {
            try {
                status = Config.address(table.text("status", null));
            } catch (IllegalArgumentException e) {
                throw table.invalid("status", "is to be a literal address and a port, as in \"127.0.0.1:9191\"");
            }
            if (!status.getAddress().isLoopbackAddress()) {
                throw table.invalid("status", "is to be a loopback address: the page tells everything to whoever asks");
            }
        }
        Map<ResourcePurpose, ResourceBudget.Cap> caps = new EnumMap<>(ResourcePurpose.class);
        List<String> words = Arrays.stream(ResourcePurpose.values())
                .map(ResourcePurpose::label)
                .toList();
        for (TomlTable each : table.tables("caps")) {
            ResourcePurpose purpose = ResourcePurpose.values()[words.indexOf(each.word("purpose", null, words))];
            int entries = each.integer("entries", -1, 1, ENTRIES_MOST);
            double kib = each.number("kib", -1.0, 1, KIB_MOST);
            if (purpose == ResourcePurpose.REGISTRY) {
                throw each.invalid("purpose", "registry has its cap in keys of [registry]");
            }
            if (entries >= 0 && !purpose.limitsEntries()) {
                throw each.invalid("entries", "means nothing for " + purpose.label() + ", which is held to kib");
            }
            if (kib >= 0 && !purpose.limitsBytes()) {
                throw each.invalid("kib", "means nothing for " + purpose.label() + ", which is held to entries");
            }
            if (entries < 0 && kib < 0) {
                throw each.invalid("entries", "is missing; a cap is of entries, of kib, or of both");
            }
            if (caps.put(purpose, new ResourceBudget.Cap(entries, kib < 0 ? -1 : (long) (1024 * kib))) != null) {
                throw each.invalid("purpose", "\"" + purpose.label() + "\" is there twice");
            }
        }
        return new MemorySettings(status, caps);
    }
}
