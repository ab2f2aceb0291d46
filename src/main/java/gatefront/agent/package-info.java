/**
 * The agent: wires the engine, frontends, upstreams, discovery and optional features into one process, and controls its
 * start, reload, handover and shutdown.
 */
package gatefront.agent;
