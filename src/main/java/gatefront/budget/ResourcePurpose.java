package gatefront.budget;

import java.util.Locale;

/** The purposes for which an agent holds resources. Each has one owner, which enforces the cap as stated here. */
public enum ResourcePurpose {
    /**
     * Connections of clients. From a part of the cap on, responses whose servers are silent are ended. At the cap, the
     * connection that has been silent longest is closed, otherwise the oldest kept-alive one; if there is neither, the
     * new connection is not accepted.
     */
    CALLER_CONNECTIONS,
    /**
     * Requests received in part or in full, with their bodies. At the cap, those in part are refused that have been
     * arriving for longest; if there are none, new ones are refused with Retry-After.
     */
    REQUESTS,
    /**
     * Accepted requests in progress, with their timers and names. From a part of the cap on, responses of silent
     * servers are ended. At the cap, refused with Retry-After.
     */
    CALLS,
    /**
     * Responses that clients have not read yet. At the cap, new requests are refused with Retry-After, and clients that
     * have read nothing for some time are closed; at twice the cap, the slowest readers are closed at once.
     */
    ANSWERS,
    /**
     * Connections to servers. At the cap, the one idle longest is closed; if none is idle, the response whose server is
     * silent for longest is ended; if there is none, the attempt is not sent.
     */
    SERVER_CONNECTIONS,
    /** Responses of servers as far as received. At the cap, the attempt fails whose response is silent for longest. */
    SERVER_ANSWERS,
    /** Connection pools, names and policy state of each listed server. At the cap, further servers are not added. */
    SERVERS,
    /** Keys of a registry. At the cap, an update is not applied, and the previous state becomes stale. */
    REGISTRY;

    /** Returns whether the number of entries can be capped. */
    public boolean limitsEntries() {
        return this != REQUESTS && this != SERVER_ANSWERS && this != REGISTRY;
    }

    /** Returns whether the number of bytes can be capped. */
    public boolean limitsBytes() {
        return this == REQUESTS || this == SERVER_ANSWERS || this == ANSWERS;
    }

    /** Returns the name used in settings and on status pages. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
