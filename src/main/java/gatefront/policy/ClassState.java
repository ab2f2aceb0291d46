package gatefront.policy;

import gatefront.policy.Balancer.RequestClass;
import java.util.ArrayDeque;
import java.util.Deque;

/** What one agent knows of one class of requests. State only: {@link AdaptiveBalancer} decides. */
final class ClassState {
    RequestClass requestClass;
    final Deque<PendingRequest> queue = new ArrayDeque<>(); // its requests that wait in this agent for want of room
    double recentArrivals; // requests come and requests served, as counts that fade
    double recentServed;
    double meanLatency; // the mean answer time, and the lowest that it has been
    double lowestMeanLatency;
    double meanCost; // the mean of its requests' cost hints
    final QuantileEstimator latencyQuantile; // a quantile of its answer times
    /** How long a request unserved here had waited: what a client's repeat has behind it. */
    double meanUnservedWait;
    /** The time that most requests bring, a first try's, by a running majority vote. */
    long usualTimeout;

    int usualTimeoutVotes;
    double valuePerWork; // what a unit of its work adds to the goal, as last measured

    ClassState(RequestClass type, double quantile) {
        this.requestClass = type;
        this.latencyQuantile = new QuantileEstimator(quantile);
    }
}
