/**
 * What a follower of a key-value registry decides: when to read everything, from where to watch, what to believe. Pure:
 * no I/O, and the time is told. Owner of the registry's state as the agent knows it; used on the agent's loop.
 */
package gatefront.registry.follower;
