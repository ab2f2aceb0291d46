/**
 * Crash-safe storage of records: an append-only log in segments, snapshots that replace its beginning, and a writer
 * with group commit. Records are opaque bytes, and files are accessed only through {@link gatefront.storage.Disk}. A
 * {@link gatefront.storage.Store} is confined to one thread; {@link gatefront.storage.GroupCommit} provides that thread
 * for code that must not block. The file format is documented in {@code docs/design/storage-format.md}.
 */
package gatefront.storage;
