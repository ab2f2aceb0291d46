/**
 * Coordinates two processes of one agent while one takes over from the other, by locks and manual drains in a shared
 * folder. Confined to the agent's event loop.
 */
package gatefront.upgrade;
