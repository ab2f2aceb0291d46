/**
 * Decides how a key-value registry is followed: when to do a full read, from which revision to watch, and which
 * members to trust. Pure: no I/O, and the time is passed in. Owns the agent's copy of the registry's entries; used on
 * the agent's event loop.
 */
package gatefront.registry.follower;
