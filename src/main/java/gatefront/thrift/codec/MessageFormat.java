package gatefront.thrift.codec;

/**
 * The format of the messages on a connection.
 *
 * @param framed whether each message is preceded by its length in four bytes (TFramedTransport)
 * @param encoding the protocol of the messages
 */
public record MessageFormat(boolean framed, ThriftEncoding encoding) {}
