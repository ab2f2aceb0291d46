/**
 * Stand-in registries, etcd and Consul, written from their public specifications: one store of revisions, served by
 * members that can lag, be silent, cut their connections or refuse. For rehearsals and tests; on the loop of the
 * machine that each runs on.
 */
package gatefront.rehearsal.registry;
