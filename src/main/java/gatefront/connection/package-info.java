/**
 * What fronts and upstreams of any protocol share: the limits on callers' connections, the pools of connections to
 * servers and the life of an attempt on them. It owns those connections, on the agent's event loop.
 */
package gatefront.connection;
