/**
 * Records that survive crashes: an append-only log in segments, snapshots that stand for its beginning, and a writer
 * that commits in groups. It knows nothing of what it keeps, and sees files through {@link gatefront.storage.Disk}
 * alone. A {@link gatefront.storage.Store} belongs to one thread; {@link gatefront.storage.GroupCommit} is that thread
 * for those who may not wait. Every byte is told in {@code docs/design/storage-format.md}.
 */
package gatefront.storage;
