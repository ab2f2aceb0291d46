package gatefront.policy;

import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Request;
import gatefront.policy.Balancer.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** One request that an agent has taken. State only: {@link AdaptiveBalancer} decides. */
final class PendingRequest {
    final Request request;
    final ClassState classState;
    /** Its class as it was when it came, and how many attempts it may have. */
    final RequestClass requestClass;

    final int maxAttempts;
    final long token; // names its timer
    final long arrivedAt;
    final long firstArrivedAt; // when its first try did
    /** When there is nothing left to win, at the latest when the client gives up. */
    final long expiresAt;

    final List<Attempt> attempts = new ArrayList<>(1);
    boolean closed;
    boolean queued;
    boolean streaming;

    PendingRequest(
            Request request, ClassState state, int attemptsMost, long token, long cameAt, long firstAt, long endAt) {
        this.request = request;
        this.classState = state;
        this.requestClass = state.requestClass;
        this.maxAttempts = attemptsMost;
        this.token = token;
        this.arrivedAt = cameAt;
        this.firstArrivedAt = firstAt;
        this.expiresAt = endAt;
    }

    /** One attempt; its outcome is null while it is out. */
    static final class Attempt {
        final ServerState server;
        final long sentAt;
        Outcome outcome;
        boolean streaming;

        Attempt(ServerState server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    /** How many attempts are out. */
    int attemptsInFlight() {
        return (int)
                attempts.stream().filter(attempt -> attempt.outcome == null).count();
    }

    boolean tried(ServerState server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }
}
