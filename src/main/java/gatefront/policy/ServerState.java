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
    Server listed; // its line of the server list
    boolean ready; // whether new requests may go to it at all: listed as ready
    boolean gone; // whether the list has it no more

    Health active = Health.UNKNOWN;
    int probeFailures;
    boolean probeOut;
    boolean answeredSinceProbe;

    Health passive = Health.UNKNOWN;
    long reactivateAt;
    final FailureWindow window = new FailureWindow();

    int inFlight; // this agent's attempts that are out
    double limit; // how many it may have in flight at once; 0 until reckoned
    double stretch = 1; // its answer times against those of all servers, as a mean
    long stretchAt; // when that was last measured
    /** A quantile of its answer times, each as a multiple of its class's lowest. */
    final QuantileEstimator pace = new QuantileEstimator(AdaptiveBalancer.QUANTILE);

    long answeredAt; // when it last answered
    int failuresInRow; // fast failures in a row, and until when it rests for them
    long restUntil;
    ByClass[] byClass = {}; // the same by class of requests, in the settings' order

    long coldSince; // start and end of the warm-up this agent believes in
    long coldUntil = Long.MIN_VALUE;
    /** Requests that may be sent while cold, and when that was reckoned. */
    double coldTokens;

    long coldAt;
    double coldRoom; // how many times its sure part it is sent while cold
    /** A broken connection or a dead probe was seen and no answer since. */
    boolean broken;

    long brokenAt; // when that was first seen

    ServerState(long id, int classes) {
        this.id = id;
        grow(classes);
    }

    /** There are so many classes now. */
    void grow(int classes) {
        int known = byClass.length;
        byClass = Arrays.copyOf(byClass, classes);
        Arrays.setAll(byClass, i -> i < known ? byClass[i] : new ByClass());
    }

    /** Its listed weight; a list may lie, and one that makes no sense is that of any server. */
    double weight() {
        return listed.weight() > 0 && listed.weight() < Integer.MAX_VALUE ? listed.weight() : 1;
    }

    /** What the server is to one class of requests: it may fail one and serve the others. */
    static final class ByClass {
        final FailureWindow window = new FailureWindow();
        Health passive = Health.UNKNOWN;
        long reactivateAt;
        long answeredAt;
        long failedAt; // when it last ended in an error or without an answer
        int failuresInRow;
        long restUntil;
    }
}
