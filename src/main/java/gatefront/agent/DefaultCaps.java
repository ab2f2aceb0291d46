package gatefront.agent;

import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import java.util.EnumMap;
import java.util.Map;

/** The caps on what an agent holds where no file sets others. */
final class DefaultCaps {
    /** Request bodies, and partial responses, may each take the memory budget divided by this. */
    private static final int BODY_HEAP_DIVISOR = 6;
    /** Responses that clients have not read may take the memory budget divided by this. */
    private static final int RESPONSE_HEAP_DIVISOR = 8;
    /**
     * Default cap on requests held, per connection: a protocol with pipelining lets several of one connection wait.
     */
    private static final int CALLS_PER_CONNECTION = 8;

    /** Lower bound of the default cap on requests held. */
    private static final int MIN_CALLS_CAP = 1_024;

    private DefaultCaps() {}

    /**
     * Returns the default caps by purpose. The connections' own limits apply in addition.
     *
     * @param memory maximum memory of the process, in bytes
     * @param connections maximum number of connections to clients, and to servers
     */
    static Map<ResourcePurpose, ResourceBudget.Cap> of(long memory, int connections) {
        Map<ResourcePurpose, ResourceBudget.Cap> caps = new EnumMap<>(ResourcePurpose.class);
        // No cap on client connections: the limit of a frontend excludes connections that are closing, whereas the
        // account counts them.
        caps.put(ResourcePurpose.SERVER_CONNECTIONS, new ResourceBudget.Cap(connections, -1));
        caps.put(ResourcePurpose.REQUESTS, new ResourceBudget.Cap(-1, memory / BODY_HEAP_DIVISOR));
        caps.put(ResourcePurpose.SERVER_ANSWERS, new ResourceBudget.Cap(-1, memory / BODY_HEAP_DIVISOR));
        caps.put(ResourcePurpose.ANSWERS, new ResourceBudget.Cap(-1, memory / RESPONSE_HEAP_DIVISOR));
        caps.put(
                ResourcePurpose.CALLS,
                new ResourceBudget.Cap(Math.max(MIN_CALLS_CAP, CALLS_PER_CONNECTION * connections), -1));
        return caps;
    }
}
