/**
 * What an agent holds, by purpose: how much, how much at the most, and what has to be turned away. Pure: counters and
 * decisions, no I/O, and the time is told. Each account is moved by one owner, on the agent's loop.
 */
package gatefront.budget;
