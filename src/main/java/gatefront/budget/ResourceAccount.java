package gatefront.budget;

/**
 * What is held for one purpose, in entries and in bytes. Confined to one thread; does not allocate. Whoever acquires an
 * entry must release it with the same number of bytes; {@link ResourceBudget#drift} reports where that is violated.
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

    /** Acquires an entry of the given number of bytes; returns false, and acquires nothing, if a cap is exceeded. */
    public boolean tryAcquire(long size) {
        if (entries >= entriesCap || bytes + size > bytesCap) {
            rejections++;
            return false;
        }
        add(1, size);
        return true;
    }

    /** Acquires more bytes for an existing entry; returns false, and acquires nothing, if the cap is exceeded. */
    public boolean tryGrow(long size) {
        if (bytes + size > bytesCap) {
            rejections++;
            return false;
        }
        add(0, size);
        return true;
    }

    /** Adds entries and bytes without checking the caps, for owners that enforce them in another way. */
    public void add(long addedEntries, long addedBytes) {
        entries += addedEntries;
        bytes += addedBytes;
        peakEntries = Math.max(peakEntries, entries);
        peakBytes = Math.max(peakBytes, bytes);
    }

    /** Sets the present amounts, for owners that recount each time. */
    public void set(long currentEntries, long currentBytes) {
        add(currentEntries - entries, currentBytes - bytes);
    }

    /** Releases an entry with all bytes acquired for it. */
    public void release(long size) {
        entries--;
        bytes -= size;
    }

    /** Releases bytes of an entry that remains. */
    public void shrink(long size) {
        bytes -= size;
    }

    /** Returns whether a cap is reached or, after it was lowered, exceeded. */
    public boolean isFull() {
        return entries >= entriesCap || bytes >= bytesCap;
    }

    void setCaps(long newEntriesCap, long newBytesCap) {
        entriesCap = newEntriesCap;
        bytesCap = newBytesCap;
    }

    /** Returns the purpose that this account is for. */
    public ResourcePurpose purpose() {
        return purpose;
    }

    /** Returns the number of entries held. */
    public long entries() {
        return entries;
    }

    /** Returns the number of bytes held. */
    public long bytes() {
        return bytes;
    }

    /** Returns the highest number of entries held so far. */
    public long peakEntries() {
        return peakEntries;
    }

    /** Returns the highest number of bytes held so far. */
    public long peakBytes() {
        return peakBytes;
    }

    /** Returns the maximum number of entries. */
    public long entriesCap() {
        return entriesCap;
    }

    /** Returns the maximum number of bytes. */
    public long bytesCap() {
        return bytesCap;
    }

    /** Returns how often an acquisition was rejected because a cap was reached. */
    public long rejections() {
        return rejections;
    }
}
