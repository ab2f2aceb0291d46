package gatefront.policy;

import gatefront.policy.Balancer.RequestClass;
import java.util.ArrayDeque;
import java.util.Deque;

/** What one agent knows of one class of requests. State only: {@link Rules} decides. */
final class ClassState {
    RequestClass type;
    /** Its requests that wait in this agent for want of room. */
    final Deque<Open> held = new ArrayDeque<>();
    /** Requests come and requests served, as counts that fade. */
    double came;
    double served;
    /** The mean answer time, and the lowest that it has been. */
    double typical;
    double unhurried;
    /** The mean of its requests' cost hints. */
    double meanCost;
    /** A quantile of its answer times. */
    final Quantile times;
    /** How long a request unserved here had waited: what a client's repeat has behind it. */
    double unservedWait;
    /** The time that most requests bring, a first try's, by a running majority vote. */
    long usualLeft;
    int usualVotes;
    /** What a unit of its work adds to the goal, as last measured. */
    double value;

    ClassState(RequestClass type, double quantile) {
        this.type = type;
        this.times = new Quantile(quantile);
    }
}
