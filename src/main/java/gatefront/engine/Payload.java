package gatefront.engine;

/** What a protocol carries from a caller to a server or back; the engine passes it on unseen. */
public interface Payload {
    /** What of it comes in pieces, and can be sent only once; null if it is here whole. */
    default BodyStream bodyStream() {
        return null;
    }

    /** Bytes of its body that are here, or have passed. */
    default long bodyBytes() {
        return 0;
    }
}
