/** Checks the rules against what is observed on both sides of the agents. Pure: no I/O, no threads, no clock. */
package gatefront.rehearsal.check;
