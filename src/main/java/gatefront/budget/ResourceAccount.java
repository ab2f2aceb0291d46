package gatefront.budget;

/**
 * What is held for one purpose, in entries and in bytes. One thread; no allocation. What is taken must be given back by
 * whoever took it, with the same bytes: {@link ResourceBudget#drift} tells where that is not so.
 */
public final class ResourceAccount {
    private final ResourcePurpose purpose;
    private long entriesCap;
    private long bytesCap;
    private long entries;
    private long bytes;
    private long peakEntries;
    private long peakBytes;
    private long rejections;

    ResourceAccount(ResourcePurpose purpose, long entriesCap, long bytesCap) {
        this.purpose = purpose;
        this.entriesCap = entriesCap;
        this.bytesCap = bytesCap;
    }

    /** Takes an entry of so many bytes; false, and nothing taken, if that is over a cap. */
    public boolean tryAcquire(long size) {
        if (entries >= entriesCap || bytes + size > bytesCap) {
            rejections++;
            return false;
        }
        add(1, size);
        return true;
    }

    /** Takes more bytes for an entry that is there; false, and nothing taken, if that is over the cap. */
    public boolean tryGrow(long size) {
        if (bytes + size > bytesCap) {
            rejections++;
            return false;
        }
        add(0, size);
        return true;
    }

    /** Counts what is there whether or not there is room: its owner has other ways to keep to the cap. */
    public void add(long more, long size) {
        entries += more;
        bytes += size;
        peakEntries = Math.max(peakEntries, entries);
        peakBytes = Math.max(peakBytes, bytes);
    }

    /** So much is held now, where the owner counts it anew each time. */
    public void set(long nowEntries, long nowBytes) {
        add(nowEntries - entries, nowBytes - bytes);
    }

    /** Gives back an entry with what it had taken. */
    public void release(long size) {
        entries--;
        bytes -= size;
    }

    /** Gives back bytes of an entry that stays. */
    public void shrink(long size) {
        bytes -= size;
    }

    /** Whether as much as may be is held: a cap may have been lowered below it. */
    public boolean isFull() {
        return entries >= entriesCap || bytes >= bytesCap;
    }

    void setCaps(long mostEntries, long mostBytes) {
        entriesCap = mostEntries;
        bytesCap = mostBytes;
    }

    /** What it is for. */
    public ResourcePurpose purpose() {
        return purpose;
    }

    /** Held now. */
    public long entries() {
        return entries;
    }

    /** Held now, in bytes. */
    public long bytes() {
        return bytes;
    }

    /** Held at the most so far. */
    public long peakEntries() {
        return peakEntries;
    }

    /** Held at the most so far, in bytes. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Its cap. */
    public long entriesCap() {
        return entriesCap;
    }

    /** Its cap in bytes. */
    public long bytesCap() {
        return bytesCap;
    }

    /** How often there was no room. */
    public long rejections() {
        return rejections;
    }
}
