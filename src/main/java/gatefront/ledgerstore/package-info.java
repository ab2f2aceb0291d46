/**
 * The ledger on disk: its records, its forms on paper, and what of it has been told to the receiver. Decisions are in
 * {@link gatefront.ledger}, files in {@link gatefront.storage}.
 */
package gatefront.ledgerstore;
