package gatefront.budget;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Accounts for everything an agent holds, by purpose, and compares the sum with the total it may hold. When the sum
 * approaches the total, the agent reacts in two steps: from {@link #TIGHT_FRACTION} of the total, idle connections are
 * closed earlier; from {@link #FULL_FRACTION}, new requests are refused. Requests that were accepted are always
 * completed.
 */
public final class ResourceBudget {
    /** The part of the total from which on idle connections end sooner. */
    public static final double TIGHT_FRACTION = 0.7;
    /** The part of the total from which on new calls are refused. */
    public static final double FULL_FRACTION = 0.9;
    /** A leak of one entry a minute is said after so many minutes. */
    private static final int RISING_WINDOWS = 15;

    private static final long WINDOW_MICROS = 60_000_000;

    /** How much of the total is held. */
    public enum Pressure {
        /** There is room. */
        NONE,
        /** Idle connections go. */
        TIGHT,
        /** No new calls. */
        FULL
    }

    /** What a purpose really holds, counted one by one. */
    public record Count(long entries, long bytes) {}

    private final Map<ResourcePurpose, ResourceAccount> accounts = new EnumMap<>(ResourcePurpose.class);
    private final Map<ResourcePurpose, LeakTrend> trends = new EnumMap<>(ResourcePurpose.class);
    /** One for each owner; fronts and upstreams of several protocols share an account. */
    private final Map<ResourcePurpose, List<Supplier<Count>>> recounts = new EnumMap<>(ResourcePurpose.class);
    /** The same without a map's iterator: they are summed for each call. */
    private final ResourceAccount[] accountsByOrdinal = new ResourceAccount[ResourcePurpose.values().length];

    private final long totalBytes;

    /** The caps of one purpose; a negative figure is none. */
    public record Cap(long entries, long bytes) {}

    /**
     * Nothing is held.
     *
     * @param total bytes that all purposes may hold together
     * @param caps by purpose; those not named have none of their own
     */
    public ResourceBudget(long total, Map<ResourcePurpose, Cap> caps) {
        this.totalBytes = total;
        for (ResourcePurpose each : ResourcePurpose.values()) {
            Cap cap = caps.getOrDefault(each, new Cap(-1, -1));
            accounts.put(
                    each,
                    new ResourceAccount(
                            each,
                            cap.entries < 0 ? Long.MAX_VALUE : cap.entries,
                            cap.bytes < 0 ? Long.MAX_VALUE : cap.bytes));
            accountsByOrdinal[each.ordinal()] = accounts.get(each);
            trends.put(each, new LeakTrend(WINDOW_MICROS, RISING_WINDOWS));
        }
    }

    /** The account of a purpose; its owner keeps it. */
    public ResourceAccount account(ResourcePurpose purpose) {
        return accountsByOrdinal[purpose.ordinal()];
    }

    /** Other caps from now on. What is held above them stays, and goes as it would have. */
    public void setCaps(Map<ResourcePurpose, Cap> caps) {
        caps.forEach((purpose, cap) -> accounts.get(purpose)
                .setCaps(cap.entries < 0 ? Long.MAX_VALUE : cap.entries, cap.bytes < 0 ? Long.MAX_VALUE : cap.bytes));
    }

    /** Bytes held for all purposes. */
    public long bytes() {
        long sum = 0;
        for (ResourceAccount each : accountsByOrdinal) {
            sum += each.bytes();
        }
        return sum;
    }

    /** Bytes that may be held for all of them. */
    public long totalBytes() {
        return totalBytes;
    }

    /** How much of the total is held. */
    public Pressure pressure() {
        long held = bytes();
        return held >= FULL_FRACTION * totalBytes
                ? Pressure.FULL
                : held >= TIGHT_FRACTION * totalBytes ? Pressure.TIGHT : Pressure.NONE;
    }

    /** Has an owner count what it holds, for {@link #drift}. */
    public void addRecount(ResourcePurpose purpose, Supplier<Count> by) {
        recounts.computeIfAbsent(purpose, each -> new ArrayList<>()).add(by);
    }

    /** Where an account is not what its owner holds: a line each. */
    public List<String> drift() {
        List<String> lines = new ArrayList<>();
        recounts.forEach((purpose, by) -> {
            ResourceAccount account = accounts.get(purpose);
            long entries = 0;
            long bytes = 0;
            for (Supplier<Count> each : by) {
                Count count = each.get();
                entries += count.entries;
                bytes += count.bytes;
            }
            if (entries != account.entries() || bytes != account.bytes()) {
                lines.add(purpose.label() + " has " + account.entries() + " entries of " + account.bytes()
                        + " bytes by its account, and " + entries + " of " + bytes + " by count");
            }
        });
        return lines;
    }

    /** Looks at the floors; a line for each purpose that has only risen for a quarter of an hour. */
    public List<String> leakWarnings(long now) {
        List<String> lines = new ArrayList<>();
        accounts.forEach((purpose, account) -> {
            long risen = trends.get(purpose).observe(now, account.entries());
            if (risen > 0) {
                lines.add("held for " + purpose.label() + ": the least of each minute has risen for " + RISING_WINDOWS
                        + " minutes, by " + risen + " to " + account.entries() + " entries; it may be a leak");
            }
        });
        return lines;
    }
}
