package gatefront.ledger;

/**
 * Who made an entry, and which one: no two entries have the same.
 *
 * @param instance the agent's name, as the installation has it
 * @param epoch counts its starts; an instance that lost its disk begins with another, drawn at random above the last
 * @param sequence counts its entries of that epoch, from 0
 */
public record EntryId(String instance, long epoch, long sequence) implements Comparable<EntryId> {
    /** What an instance may be called. */
    public static final String INSTANCE_PATTERN = "[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}";

    /** Checks what came from outside. */
    public EntryId {
        if (!instance.matches(INSTANCE_PATTERN) || epoch < 0 || sequence < 0) {
            throw new IllegalArgumentException(
                    "an entry's id is a name, an epoch and a number, not " + instance + "/" + epoch + "/" + sequence);
        }
    }

    /** Reads what {@link #toString()} writes. */
    public static EntryId parse(String text) {
        String[] parts = text.split("/");
        try {
            if (parts.length == 3) {
                return new EntryId(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]));
            }
        } catch (NumberFormatException e) {
            // told below
        }
        throw new IllegalArgumentException("an entry's id is INSTANCE/EPOCH/NUMBER, not " + text);
    }

    @Override
    public int compareTo(EntryId other) {
        int byName = instance.compareTo(other.instance);
        int byEpoch = byName != 0 ? byName : Long.compare(epoch, other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(sequence, other.sequence);
    }

    @Override
    public String toString() {
        return instance + "/" + epoch + "/" + sequence;
    }
}
