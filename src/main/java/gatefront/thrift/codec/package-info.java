/**
 * Codec for Apache Thrift messages, framed and unframed, in the strict and old binary protocols and the compact
 * protocol, following doc/specs/thrift-binary-protocol.md and thrift-compact-protocol.md of Apache Thrift. Input is
 * decoded into messages or a reason why it is malformed; the only state is that of the message being received, which is
 * bounded by {@link gatefront.thrift.codec.MessageLimits}.
 */
package gatefront.thrift.codec;
