/**
 * What frontends and upstreams of all protocols share: the limits on clients' connections, the pools of connections to
 * servers and the life cycle of an attempt on them. Owns these connections, on the agent's event loop.
 */
package gatefront.connection;
