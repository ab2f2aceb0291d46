package gatefront.thrift.codec;

/**
 * What one message may take of the reader.
 *
 * @param maxMessageBytes bytes at the most, the frame's length not counted
 * @param maxDepth structs and containers inside each other at the most; a generated reader recurses, and would run out
 *     of stack
 * @param maxNameBytes bytes of a method's name at the most
 */
public record MessageLimits(int maxMessageBytes, int maxDepth, int maxNameBytes) {
    /** As a request over HTTP has them: 64 KiB; the depth is far above what people nest. */
    public static final MessageLimits DEFAULT = new MessageLimits(64 << 10, 32, 128);
}
