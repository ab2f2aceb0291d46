/**
 * The parts of a rehearsal with several processes, apart from the simulated world: plans and their faults, relays on
 * the links between processes, faults of folders, a reaper that kills remaining processes, the lateness of the rig's
 * event loops, the timeline of process starts and the event history. {@code gatefront.rehearsal.ProcessRehearsal} puts
 * them together. Relays run on event loops of their own.
 */
package gatefront.rehearsal.processes;
