/**
 * What an agent holds, shown on a loopback address of its own where an installation asks for it. Runs on the agent's
 * loop; owner of its few connections.
 */
package gatefront.status;
