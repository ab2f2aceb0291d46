package gatefront.policy;

import gatefront.policy.Balancer.Server;
import java.util.Arrays;

/** What one agent knows of one server. State only: {@link AdaptiveBalancer} decides. */
final class ServerState {
    /** The states of a health check. */
    enum Health {
        UNKNOWN,
        HEALTHY,
        UNHEALTHY
    }

    final long id;
    Server entry; // its line of the server list
    boolean ready; // whether new requests may go to it at all: listed as ready
    boolean removed; // whether the list has it no more

    Health activeHealth = Health.UNKNOWN;
    int probeFailures;
    boolean probeInFlight;
    boolean answeredSinceProbe;

    Health passiveHealth = Health.UNKNOWN;
    long ejectedUntil;
    final FailureWindow failureWindow = new FailureWindow();

    int inFlight; // this agent's attempts that are out
    double limit; // how many it may have in flight at once; 0 until reckoned
    double latencyRatio = 1; // its answer times against those of all servers, as a mean
    long latencyRatioAt; // when that was last measured
    /** A quantile of its answer times, each as a multiple of its class's lowest. */
    final QuantileEstimator relativeLatency = new QuantileEstimator(AdaptiveBalancer.LATENCY_QUANTILE);

    long lastSuccessAt; // when it last answered
    int consecutiveFailures; // fast failures in a row, and until when it rests for them
    long backoffUntil;
    PerClassState[] byClass = {}; // the same by class of requests, in the settings' order

    long coldSince; // start and end of the warm-up this agent believes in
    long coldUntil = Long.MIN_VALUE;
    /** Requests that may be sent while cold, and when that was reckoned. */
    double coldTokens;

    long coldTokensAt;
    double coldRateMultiple; // how many times its sure part it is sent while cold
    /** A broken connection or a dead probe was seen and no answer since. */
    boolean broken;

    long brokenAt; // when that was first seen

    ServerState(long id, int classes) {
        this.id = id;
        ensureClasses(classes);
    }

    /** There are so many classes now. */
    void ensureClasses(int classes) {
        int known = byClass.length;
        byClass = Arrays.copyOf(byClass, classes);
        Arrays.setAll(byClass, i -> i < known ? byClass[i] : new PerClassState());
    }

    /** Its listed weight; a list may lie, and one that makes no sense is that of any server. */
    double effectiveWeight() {
        return entry.weight() > 0 && entry.weight() < Integer.MAX_VALUE ? entry.weight() : 1;
    }

    /** What the server is to one class of requests: it may fail one and serve the others. */
    static final class PerClassState {
        final FailureWindow failureWindow = new FailureWindow();
        Health passiveHealth = Health.UNKNOWN;
        long ejectedUntil;
        long lastSuccessAt;
        long lastFailureAt; // when it last ended in an error or without an answer
        int consecutiveFailures;
        long backoffUntil;
    }
}
