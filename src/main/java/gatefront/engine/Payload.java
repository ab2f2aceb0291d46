package gatefront.engine;

/** The content of a request or response in the form of its protocol; the engine passes it on without looking inside. */
public interface Payload {
    /** Returns the body if it is streamed and so can be sent only once; null if the whole body is in memory. */
    default BodyStream bodyStream() {
        return null;
    }

    /** Returns the length of a streamed body; -1 if it is not known. */
    default long bodyLength() {
        return -1;
    }

    /** Returns the number of bytes of the body that are in memory, or have been streamed so far. */
    default long bodyBytes() {
        return 0;
    }
}
