package gatefront.thrift.codec;

/** How a message's values are written. */
public enum ThriftEncoding {
    /** TBinaryProtocol, its header with a version. */
    BINARY,
    /** TBinaryProtocol as it was before: its header without a version. */
    BINARY_OLD,
    /** TCompactProtocol. */
    COMPACT;

    /** The first byte of a message with a version. */
    static final int BINARY_FIRST_BYTE = 0x80;

    static final int COMPACT_FIRST_BYTE = 0x82;

    /** Whether two messages' bodies are read alike; the forms of the binary protocol differ in their headers alone. */
    public boolean hasSameBodyFormat(ThriftEncoding other) {
        return (this == COMPACT) == (other == COMPACT);
    }
}
