package gatefront.recovery;

/**
 * A piece of state that is available at start, before any source has confirmed that it is still valid.
 *
 * @param kind what the state describes
 * @param source where the state comes from
 * @param instance the name of the instance that wrote it; null if the source cannot belong to another instance
 * @param writtenUntilMicros the latest time at which the writer is known to have received changes, in microseconds of
 *     the time of day; negative if unknown
 * @param damaged whether a part of it could not be read
 */
public record RestoredState(
        StateKind kind, StateSource source, String instance, long writtenUntilMicros, boolean damaged) {}
