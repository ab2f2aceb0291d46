package gatefront.thrift.codec;

/**
 * A whole message.
 *
 * @param encoding how it is written
 * @param header its head
 * @param body the struct behind it, byte for byte: the arguments of a call, the result of a reply; well-formed where
 *     it comes from a {@link MessageDecoder}
 */
public record ThriftMessage(ThriftEncoding encoding, MessageHeader header, byte[] body) {}
