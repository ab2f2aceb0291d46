package gatefront.policy;

import gatefront.policy.Balancer.RequestClass;
import java.util.ArrayDeque;
import java.util.Deque;

/** What one agent knows of one class of requests. State only: {@link AdaptiveBalancer} decides. */
final class ClassState {
    RequestClass type;
    final Deque<PendingRequest> held = new ArrayDeque<>(); // its requests that wait in this agent for want of room
    double came; // requests come and requests served, as counts that fade
    double served;
    double typical; // the mean answer time, and the lowest that it has been
    double unhurried;
    double meanCost; // the mean of its requests' cost hints
    final QuantileEstimator times; // a quantile of its answer times
    /** How long a request unserved here had waited: what a client's repeat has behind it. */
    double unservedWait;
    /** The time that most requests bring, a first try's, by a running majority vote. */
    long usualLeft;

    int usualVotes;
    double value; // what a unit of its work adds to the goal, as last measured

    ClassState(RequestClass type, double quantile) {
        this.type = type;
        this.times = new QuantileEstimator(quantile);
    }
}
