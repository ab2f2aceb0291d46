/**
 * Follows the server list over the protocol of the platform's discovery service, the padrón. Runs on the agent's event
 * loop and owns the connections to it and the version of the list last received.
 */
package gatefront.padron;
