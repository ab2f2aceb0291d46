/**
 * Messages of Apache Thrift as the agent reads and writes them: framed and unframed, the binary protocol in its strict
 * and its old form and the compact one, by the protocols' specifications (doc/specs/thrift-binary-protocol.md and
 * thrift-compact-protocol.md of Apache Thrift). Bytes in, values or reasons out; the one state kept is that of the
 * message that is coming in, and it is bounded by {@link gatefront.thrift.codec.MessageLimits}.
 */
package gatefront.thrift.codec;
