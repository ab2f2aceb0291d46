/**
 * Thrift on both sides of the agent: {@link gatefront.thrift.ThriftFrontend} takes calls and gives their answers,
 * {@link gatefront.thrift.ThriftUpstream} makes attempts and probes. Both hold nothing beyond their connections; what
 * is to be done with a call is the engine's and the decision module's. Conventions: docs/idl/gatefront.thrift.
 */
package gatefront.thrift;
