/**
 * HTTP/1.1 for the engine: the frontend for clients and the upstream for servers, each of which owns its connections.
 * Runs on the agent's event loop.
 */
package gatefront.http;
