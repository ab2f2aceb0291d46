/**
 * The server list and policies from a key-value registry, etcd or Consul. Runs on the agent's event loop and owns one
 * connection and, through its follower, the keys. Loaded only if the configuration names a registry.
 */
package gatefront.registry;
