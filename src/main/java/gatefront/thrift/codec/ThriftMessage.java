package gatefront.thrift.codec;

/**
 * A complete message.
 *
 * @param encoding the protocol that encodes it
 * @param header the message header
 * @param body the encoded struct after the header: the arguments of a call or the result of a reply; well-formed if it
 *     comes from a {@link MessageDecoder}
 */
public record ThriftMessage(ThriftEncoding encoding, MessageHeader header, byte[] body) {}
