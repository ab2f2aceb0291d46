/**
 * Persistence of the ledger: its stored records, its JSON and CSV forms, and the number of entries acknowledged by the
 * receiver. The accounting logic is in {@link gatefront.ledger}, the file handling in {@link gatefront.storage}.
 */
package gatefront.ledgerstore;
