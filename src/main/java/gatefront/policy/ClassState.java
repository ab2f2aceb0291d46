package gatefront.policy;

import gatefront.policy.Balancer.RequestClass;
import java.util.ArrayDeque;
import java.util.Deque;

/** The state that one agent keeps of one class of requests. It makes no decisions; {@link AdaptiveBalancer} does. */
final class ClassState {
    RequestClass requestClass;
    /** Requests of the class that wait in this agent for a server with capacity, in the order of arrival. */
    final Deque<PendingRequest> queue = new ArrayDeque<>();

    /** Decaying count of requests that arrived. */
    double recentArrivals;
    /** Decaying count of requests that were served. */
    double recentServed;
    /** Moving average of the latency in microseconds; 0 before the first response. */
    double meanLatency;
    /** Minimum of {@link #meanLatency}: the latency without load. */
    double lowestMeanLatency;
    /** Moving average of the cost hints. */
    double meanCost;

    final QuantileEstimator latencyQuantile;
    /**
     * Moving average of the time in microseconds that unserved requests waited here: the time that a client retry has
     * already spent.
     */
    double meanUnservedWait;
    /** Usual timeout of first tries in microseconds: the majority of all requests, by a running vote. */
    long usualTimeout;

    /** Votes for {@link #usualTimeout}. */
    int usualTimeoutVotes;
    /** What a unit of the class's work adds to the goal, as last computed. */
    double valuePerWork;

    ClassState(RequestClass requestClass, double quantile) {
        this.requestClass = requestClass;
        this.latencyQuantile = new QuantileEstimator(quantile);
    }
}
