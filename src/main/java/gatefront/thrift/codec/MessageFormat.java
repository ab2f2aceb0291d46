package gatefront.thrift.codec;

/**
 * How messages stand on a connection.
 *
 * @param framed whether each is behind its length in four bytes (TFramedTransport)
 * @param encoding how its values are written
 */
public record MessageFormat(boolean framed, ThriftEncoding encoding) {}
