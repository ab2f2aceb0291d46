package gatefront.thrift.codec;

/**
 * Limits on one message.
 *
 * @param maxMessageBytes maximum length, without the length field of a frame
 * @param maxDepth maximum nesting of structs and containers; generated readers recurse, and could run out of stack
 * @param maxNameBytes maximum length of a method name
 */
public record MessageLimits(int maxMessageBytes, int maxDepth, int maxNameBytes) {
    /** The default: 64 KiB, as for requests over HTTP, and a depth well above that of practical messages. */
    public static final MessageLimits DEFAULT = new MessageLimits(64 << 10, 32, 128);
}
