/**
 * What a rehearsal with several processes is made of, apart from the world that is played: relays on the links between
 * processes, faults of folders, a warden that ends what is left, the rig's own lateness, plans and the judge of what
 * operators did by hand. {@code gatefront.rehearsal.ProcessRehearsal} puts it together. Relays run on loops of their
 * own; what judges is pure.
 */
package gatefront.rehearsal.processes;
