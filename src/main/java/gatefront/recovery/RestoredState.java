package gatefront.recovery;

/**
 * A piece of state that is there at a start, before anybody has said that it still holds.
 *
 * @param piece what
 * @param source from where
 * @param instance whose it is; null where the source cannot be another's
 * @param upTo the time of day up to which its writer was there to hear of changes, in microseconds; negative if unknown
 * @param damaged whether a part of it could not be read
 */
public record RestoredState(StateKind piece, StateSource source, String instance, long upTo, boolean damaged) {}
