package gatefront.persistence;

import gatefront.membership.ServerBans;
import java.util.Map;

/**
 * What was read from a store.
 *
 * @param instance who wrote it; null where nobody did
 * @param life which start of that instance wrote last
 * @param upTo microseconds of the time of day up to which its writer was certainly there; negative if nobody was
 * @param bans what staff took out or put back
 * @param listAt of which time the list is
 * @param list the last whole list in the platform's form; null if none was kept
 */
public record StoredState(
        String instance, long life, long upTo, Map<String, ServerBans.Entry> bans, long listAt, byte[] list) {
    /** Nothing. */
    public static final StoredState NOTHING = new StoredState(null, 0, -1, Map.of(), -1, null);
}
