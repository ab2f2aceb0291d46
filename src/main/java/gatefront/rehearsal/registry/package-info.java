/**
 * Stand-ins for the registries etcd and Consul, written from their public specifications: one store with revisions,
 * served by members that can lag, be silent, close their connections or refuse calls. For rehearsals and tests. Each
 * member runs on the event loop of its machine.
 */
package gatefront.rehearsal.registry;
