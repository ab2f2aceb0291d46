package gatefront.budget;

/**
 * The flow-control window of the bodies that are streamed on one account: how many bytes of each may wait for its
 * reader. It is a fraction of what is free of the streams' part of the account (the dynamic threshold of shared-memory
 * switches), so that streams whose readers are slow shrink the window instead of filling the account.
 */
public final class StreamWindow {
    /** The smallest window; it keeps every stream moving. */
    static final int MIN_BYTES = 4 << 10;
    /** The largest window. */
    static final int MAX_BYTES = 32 << 10;
    /** The account's cap is divided by this for the streams' part; the rest is for bodies that are held whole. */
    private static final int STREAMS_DIVISOR = 2;
    /** Fraction of the free part that one stream may fill. */
    private static final int FREE_DIVISOR = 64;

    private final ResourceAccount account;

    /** Creates the window of the streams whose waiting bytes are counted in {@code account}. */
    public StreamWindow(ResourceAccount account) {
        this.account = account;
    }

    /** Returns the present window in bytes. */
    public int bytes() {
        long free = account.bytesCap() / STREAMS_DIVISOR - account.bytes();
        return (int) Math.max(MIN_BYTES, Math.min(MAX_BYTES, free / FREE_DIVISOR));
    }
}
