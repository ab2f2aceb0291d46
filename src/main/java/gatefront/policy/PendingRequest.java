package gatefront.policy;

import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Request;
import gatefront.policy.Balancer.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** One request that an agent has taken. State only: {@link AdaptiveBalancer} decides. */
final class PendingRequest {
    final Request request;
    final ClassState state;
    /** Its class as it was when it came, and how many attempts it may have. */
    final RequestClass type;

    final int attemptsMost;
    final long token; // names its timer
    final long cameAt;
    final long firstAt; // when its first try did
    /** When there is nothing left to win, at the latest when the client gives up. */
    final long endAt;

    final List<Attempt> attempts = new ArrayList<>(1);
    boolean closed;
    boolean held;
    boolean streaming;

    PendingRequest(
            Request request, ClassState state, int attemptsMost, long token, long cameAt, long firstAt, long endAt) {
        this.request = request;
        this.state = state;
        this.type = state.type;
        this.attemptsMost = attemptsMost;
        this.token = token;
        this.cameAt = cameAt;
        this.firstAt = firstAt;
        this.endAt = endAt;
    }

    /** One attempt; its outcome is null while it is out. */
    static final class Attempt {
        final ServerState target;
        final long sentAt;
        Outcome outcome;
        boolean passing;

        Attempt(ServerState target, long sentAt) {
            this.target = target;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    /** How many attempts are out. */
    int out() {
        return (int)
                attempts.stream().filter(attempt -> attempt.outcome == null).count();
    }

    boolean tried(ServerState target) {
        for (Attempt attempt : attempts) {
            if (attempt.target == target) {
                return true;
            }
        }
        return false;
    }
}
