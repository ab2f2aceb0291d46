package gatefront.budget;

import java.util.Locale;

/** What something is held for. Each has one owner, which says what happens when its cap is reached. */
public enum ResourcePurpose {
    /** Connections of callers. At the cap the longest silent ends, then the longest kept; else none is accepted. */
    CALLER_CONNECTIONS,
    /** Requests that have come, in part or whole, with their bodies. At the cap: refused, with Retry-After. */
    REQUESTS,
    /** Calls taken and not done with, and their timers and names. At the cap: refused, with Retry-After. */
    CALLS,
    /** Answers that callers have not read yet. At the cap new calls are refused, with Retry-After. */
    ANSWERS,
    /** Connections to servers. At the cap the longest idle ends; else the attempt is not sent. */
    SERVER_CONNECTIONS,
    /** Answers of servers, as far as they have come. At the cap the connection ends, and the attempt with it. */
    SERVER_ANSWERS,
    /** What is kept for each listed server: pools, names, the module's state. At the cap new ones are not taken. */
    SERVERS,
    /** Keys of a registry. At the cap a state is not taken, and the one before goes stale. */
    REGISTRY;

    /** Whether it is held to a number of entries, besides to bytes or without them. */
    public boolean limitsEntries() {
        return this != REQUESTS && this != SERVER_ANSWERS && this != REGISTRY;
    }

    /** Whether it is held to a number of bytes. */
    public boolean limitsBytes() {
        return this == REQUESTS || this == SERVER_ANSWERS || this == ANSWERS;
    }

    /** As it stands in files and on pages. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
