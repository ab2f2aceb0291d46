/**
 * Pure models of the environment of the agents: nodos, clients, the padrón. Events in, results out; time is an
 * argument, in microseconds, and random numbers come from a seeded source. No sockets, threads or clocks.
 */
package gatefront.rehearsal.world;
