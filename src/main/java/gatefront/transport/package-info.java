/**
 * Abstraction of the environment: one event loop with its clock, and the creation of channels. In production these are
 * the NIO loop and sockets; in a rehearsal, a loop on virtual time and an in-memory network. Code above this package
 * reads no clock and creates no loop or socket of its own.
 */
package gatefront.transport;
