/**
 * The rehearsal tool: runs a plan with the real agents against stand-ins for nodos, clients and the padrón, on
 * virtual time or on loopback sockets, checks the rules and reports. Everything runs on the thread of {@link
 * gatefront.rehearsal.Rehearsal}. The stand-ins own their connections, the models their state.
 */
package gatefront.rehearsal;
