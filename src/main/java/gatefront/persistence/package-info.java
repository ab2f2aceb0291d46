/**
 * Persists what an agent restores after a restart, on {@link gatefront.storage}: manual drains, the last server list,
 * and marks that the agent is alive. Writes run on a separate thread; {@link gatefront.recovery} decides how far the
 * restored state may be used.
 */
package gatefront.persistence;
