package gatefront.thrift.codec;

/** The protocol that encodes a message. */
public enum ThriftEncoding {
    /** TBinaryProtocol with the strict header, which has a version. */
    BINARY,
    /** TBinaryProtocol with the old header, which has no version. */
    BINARY_OLD,
    /** TCompactProtocol. */
    COMPACT;

    /** First byte of a strict binary message. */
    static final int BINARY_FIRST_BYTE = 0x80;

    /** First byte of a compact message. */
    static final int COMPACT_FIRST_BYTE = 0x82;

    /** Returns whether bodies are encoded alike; the variants of the binary protocol differ only in their headers. */
    public boolean hasSameBodyFormat(ThriftEncoding other) {
        return (this == COMPACT) == (other == COMPACT);
    }
}
