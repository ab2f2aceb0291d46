/**
 * Status page with the resources in use by an agent, served on a loopback address if configured. Runs on the agent's
 * loop and owns its few connections.
 */
package gatefront.status;
