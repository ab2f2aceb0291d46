package gatefront.thrift.codec;

/**
 * What one message may take of the reader.
 *
 * @param message bytes at the most, the frame's length not counted
 * @param depth structs and containers inside each other at the most; a generated reader recurses, and would run out
 *     of stack
 * @param name bytes of a method's name at the most
 */
public record MessageLimits(int message, int depth, int name) {
    /** As a request over HTTP has them: 64 KiB; the depth is far above what people nest. */
    public static final MessageLimits USUAL = new MessageLimits(64 << 10, 32, 128);
}
