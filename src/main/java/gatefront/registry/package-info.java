/**
 * The list of servers and their policies from a key-value registry, etcd or Consul. Runs on the agent's loop; owner of
 * one connection, and through its follower of the keys. Loaded only where an installation configures it.
 */
package gatefront.registry;
