package gatefront.policy;

import gatefront.policy.Balancer.Server;
import java.util.Arrays;

/** The state that one agent keeps of one server. It makes no decisions; {@link AdaptiveBalancer} does. */
final class ServerState {
    /** The results of a health check. */
    enum Health {
        UNKNOWN,
        HEALTHY,
        UNHEALTHY
    }

    final long id;
    /** The server's entry in the server list. */
    Server entry;
    /** Whether the server is listed as ready, so that new requests may be sent to it. */
    boolean ready;
    /** Whether the server has left the server list. */
    boolean removed;

    /** Health by probes. */
    Health activeHealth = Health.UNKNOWN;
    /** Consecutive failed probes. */
    int probeFailures;

    boolean probeInFlight;
    boolean answeredSinceProbe;

    /** Health by the outcomes of requests. Unhealthy means that the server is ejected. */
    Health passiveHealth = Health.UNKNOWN;

    long ejectedUntil;
    final FailureWindow failureWindow = new FailureWindow();

    /** This agent's attempts in flight at the server. */
    int inFlight;
    /** Maximum number of attempts in flight; 0 until it is computed. */
    double limit;
    /** Moving average of the server's latency relative to the mean of all servers. */
    double latencyRatio = 1;
    /** When the latency ratio was last measured. */
    long latencyRatioAt;
    /** Quantile of the server's latencies, each as a multiple of the minimum quantile of its class. */
    final QuantileEstimator relativeLatency = new QuantileEstimator(AdaptiveBalancer.LATENCY_QUANTILE);

    long lastSuccessAt;
    /** Consecutive failures, which determine the backoff. */
    int consecutiveFailures;
    /** Until when no request is sent to the server after failures. */
    long backoffUntil;
    /** State by class of requests, in the order of the settings. */
    PerClassState[] byClass = {};

    /** Assumed start of the slow start. */
    long coldSince;
    /** Assumed end of the slow start. */
    long coldUntil = Long.MIN_VALUE;
    /** Requests that may be sent while the server is cold. */
    double coldTokens;
    /** When {@link #coldTokens} was last computed. */
    long coldTokensAt;
    /** Rate at which requests are sent to the server while it is cold, as a multiple of its warm share. */
    double coldRateMultiple;
    /** Whether a connection or probe has failed and the server has not responded since. */
    boolean broken;

    /** When the outage was first noticed. */
    long brokenAt;

    ServerState(long id, int classes) {
        this.id = id;
        ensureClasses(classes);
    }

    /** Adds state for classes up to the given number. */
    void ensureClasses(int classes) {
        int previous = byClass.length;
        byClass = Arrays.copyOf(byClass, classes);
        Arrays.setAll(byClass, i -> i < previous ? byClass[i] : new PerClassState());
    }

    /** Returns the listed weight, or 1 if it is invalid, since the list comes from outside. */
    double effectiveWeight() {
        return entry.weight() > 0 && entry.weight() < Integer.MAX_VALUE ? entry.weight() : 1;
    }

    /** The state of a server for one class of requests, as a server may fail one class and serve the others. */
    static final class PerClassState {
        final FailureWindow failureWindow = new FailureWindow();
        Health passiveHealth = Health.UNKNOWN;
        long ejectedUntil;
        long lastSuccessAt;
        /** When a request last ended with an error or a timeout. */
        long lastFailureAt;

        int consecutiveFailures;
        long backoffUntil;
    }
}
