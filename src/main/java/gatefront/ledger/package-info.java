/**
 * Accounting of usage by municipio: entries by period, corrections as separate entries, and reconciliation between
 * instances. The package is pure: time is an argument, and no I/O is done. A {@link gatefront.ledger.Ledger} is
 * immutable, so its holders can use it while new ledgers are derived from it.
 */
package gatefront.ledger;
