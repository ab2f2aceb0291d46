/**
 * What two processes of one agent know of each other while one takes over from the other: locks and bans in a common
 * folder. Owned by the agent's loop.
 */
package gatefront.upgrade;
