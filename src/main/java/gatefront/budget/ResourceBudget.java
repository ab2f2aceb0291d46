package gatefront.budget;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Accounts for everything an agent holds, by purpose, and compares the sum with the total it may hold. When the sum
 * approaches the total, the agent reacts in two steps: from {@link #TIGHT_FRACTION} of the total, idle connections are
 * closed earlier; from {@link #FULL_FRACTION}, new requests are refused. Requests that were accepted are always
 * completed.
 */
public final class ResourceBudget {
    /** The fraction of the total from which idle connections are closed earlier. */
    public static final double TIGHT_FRACTION = 0.7;
    /** The fraction of the total from which new requests are refused. */
    public static final double FULL_FRACTION = 0.9;
    /** The number of consecutive rising windows after which a possible leak is reported. */
    private static final int RISING_WINDOWS = 15;

    /** The length of a window for leak detection, in microseconds. */
    private static final long WINDOW_MICROS = 60_000_000;

    /** How close the held bytes are to the total. */
    public enum Pressure {
        /** Below {@link #TIGHT_FRACTION}. */
        NONE,
        /** Idle connections are closed earlier. */
        TIGHT,
        /** New requests are refused. */
        FULL
    }

    /** What is actually held for a purpose, as counted by its owner. */
    public record Count(long entries, long bytes) {}

    private final Map<ResourcePurpose, ResourceAccount> accounts = new EnumMap<>(ResourcePurpose.class);
    private final Map<ResourcePurpose, LeakTrend> trends = new EnumMap<>(ResourcePurpose.class);
    /** One recount for each owner; frontends and upstreams of several protocols share an account. */
    private final Map<ResourcePurpose, List<Supplier<Count>>> recounts = new EnumMap<>(ResourcePurpose.class);

    private final List<BooleanSupplier> reclaimers = new ArrayList<>();
    /** The accounts as an array: they are summed for each request, which must not allocate an iterator. */
    private final ResourceAccount[] accountsByOrdinal = new ResourceAccount[ResourcePurpose.values().length];

    private final long totalBytes;

    /** The caps of one purpose; a negative value means no cap. */
    public record Cap(long entries, long bytes) {}

    /**
     * Creates a budget of which nothing is held.
     *
     * @param totalBytes the maximum number of bytes for all purposes together
     * @param caps the caps by purpose; purposes that are not named have no cap of their own
     */
    public ResourceBudget(long totalBytes, Map<ResourcePurpose, Cap> caps) {
        this.totalBytes = totalBytes;
        for (ResourcePurpose purpose : ResourcePurpose.values()) {
            Cap cap = caps.getOrDefault(purpose, new Cap(-1, -1));
            accounts.put(
                    purpose,
                    new ResourceAccount(
                            purpose,
                            cap.entries < 0 ? Long.MAX_VALUE : cap.entries,
                            cap.bytes < 0 ? Long.MAX_VALUE : cap.bytes));
            accountsByOrdinal[purpose.ordinal()] = accounts.get(purpose);
            trends.put(purpose, new LeakTrend(WINDOW_MICROS, RISING_WINDOWS));
        }
    }

    /** Returns the account of a purpose, which its owner updates. */
    public ResourceAccount account(ResourcePurpose purpose) {
        return accountsByOrdinal[purpose.ordinal()];
    }

    /** Changes the given caps. What is held above a new cap is released in the normal course. */
    public void setCaps(Map<ResourcePurpose, Cap> caps) {
        caps.forEach((purpose, cap) -> accounts.get(purpose)
                .setCaps(cap.entries < 0 ? Long.MAX_VALUE : cap.entries, cap.bytes < 0 ? Long.MAX_VALUE : cap.bytes));
    }

    /** Returns the number of bytes held for all purposes. */
    public long bytes() {
        long sum = 0;
        for (ResourceAccount account : accountsByOrdinal) {
            sum += account.bytes();
        }
        return sum;
    }

    /** Returns the maximum number of bytes for all purposes together. */
    public long totalBytes() {
        return totalBytes;
    }

    /** Returns how close the held bytes are to the total. */
    public Pressure pressure() {
        long held = bytes();
        return held >= FULL_FRACTION * totalBytes
                ? Pressure.FULL
                : held >= TIGHT_FRACTION * totalBytes ? Pressure.TIGHT : Pressure.NONE;
    }

    /**
     * Registers a function by which an owner gives up one thing that it keeps only while nothing is scarce.
     *
     * @param reclaimer returns whether it has given something up
     */
    public void addReclaimer(BooleanSupplier reclaimer) {
        reclaimers.add(reclaimer);
    }

    /** Has an owner give up one thing that is kept only while nothing is scarce; returns whether one did. */
    public boolean reclaim() {
        for (BooleanSupplier reclaimer : reclaimers) {
            if (reclaimer.getAsBoolean()) {
                return true;
            }
        }
        return false;
    }

    /** Registers a function by which an owner counts what it holds, for {@link #drift}. */
    public void addRecount(ResourcePurpose purpose, Supplier<Count> recount) {
        recounts.computeIfAbsent(purpose, key -> new ArrayList<>()).add(recount);
    }

    /** Returns a line for each account that differs from what its owners hold. */
    public List<String> drift() {
        List<String> lines = new ArrayList<>();
        recounts.forEach((purpose, suppliers) -> {
            ResourceAccount account = accounts.get(purpose);
            long entries = 0;
            long bytes = 0;
            for (Supplier<Count> supplier : suppliers) {
                Count count = supplier.get();
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

    /**
     * Samples all accounts; returns a line for each purpose whose minimum has risen in {@link #RISING_WINDOWS}
     * consecutive windows.
     */
    public List<String> leakWarnings(long now) {
        List<String> lines = new ArrayList<>();
        accounts.forEach((purpose, account) -> {
            long risen = trends.get(purpose).observe(now, account.entries());
            if (risen > 0) {
                lines.add("held for " + purpose.label() + ": the minimum of each minute has risen for " + RISING_WINDOWS
                        + " minutes, by " + risen + " to " + account.entries() + " entries; possible leak");
            }
        });
        return lines;
    }
}
