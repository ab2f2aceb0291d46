/**
 * Thrift support: {@link gatefront.thrift.ThriftFrontend} accepts client requests and writes their responses,
 * {@link gatefront.thrift.ThriftUpstream} sends attempts and probes to servers. Both hold no state beyond their
 * connections; the engine and the decision module decide what happens to a request. The conventions are defined in
 * docs/idl/gatefront.thrift.
 */
package gatefront.thrift;
