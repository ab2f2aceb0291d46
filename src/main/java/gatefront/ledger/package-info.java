/**
 * Use by municipio: entries in closed periods, corrections as entries of their own, and how several instances find
 * where they differ. Pure: time is an argument, nothing is read or written. One {@link gatefront.ledger.Ledger} is a
 * value; who has it may go on with it while another is made of it.
 */
package gatefront.ledger;
