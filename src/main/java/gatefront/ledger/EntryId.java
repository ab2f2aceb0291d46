package gatefront.ledger;

/**
 * The unique id of an entry: the instance that made it, the instance's epoch and a sequence number.
 *
 * @param instance the configured name of the agent
 * @param epoch counts the starts of the instance; an instance that lost its disk continues with an epoch drawn at
 *     random above its last one
 * @param sequence counts the entries of that epoch, from 0
 */
public record EntryId(String instance, long epoch, long sequence) implements Comparable<EntryId> {
    /** The regular expression that instance names must match. */
    public static final String INSTANCE_PATTERN = "[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}";

    /** Checks the parts, which may come from outside the process. */
    public EntryId {
        if (!instance.matches(INSTANCE_PATTERN) || epoch < 0 || sequence < 0) {
            throw new IllegalArgumentException(
                    "an entry id is INSTANCE/EPOCH/NUMBER, not " + instance + "/" + epoch + "/" + sequence);
        }
    }

    /** Parses the text form written by {@link #toString()}. */
    public static EntryId parse(String text) {
        String[] parts = text.split("/");
        try {
            if (parts.length == 3) {
                return new EntryId(parts[0], Long.parseLong(parts[1]), Long.parseLong(parts[2]));
            }
        } catch (NumberFormatException e) {
            // Reported by the exception below.
        }
        throw new IllegalArgumentException("an entry id is INSTANCE/EPOCH/NUMBER, not " + text);
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
