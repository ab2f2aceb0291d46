/** The operators' door: its calls, and the figures as it tells them. Runs on the agent's loop. */
package gatefront.management;
