package gatefront.policy;

import gatefront.policy.Balancer.Outcome;
import gatefront.policy.Balancer.Request;
import gatefront.policy.Balancer.RequestClass;
import gatefront.policy.Balancer.Settings;
import java.util.ArrayList;
import java.util.List;

/** The state of one open request. It makes no decisions; {@link AdaptiveBalancer} does. */
final class PendingRequest {
    final Request request;
    final ClassState classState;
    /** The settings that were in force when the request began. */
    final Settings settings;
    /** The request's class in these settings. */
    final RequestClass requestClass;

    /** Token of the request's timer. */
    final long token;

    final long arrivedAt;
    /** When the client's first try arrived; equals {@link #arrivedAt} unless this is a client retry. */
    final long firstArrivedAt;
    /** When a response is of no use any more, at the latest when the client gives up. */
    final long expiresAt;

    final List<Attempt> attempts = new ArrayList<>(1);
    /** Whether the request has its final response, or its client has disconnected. */
    boolean closed;
    /** Whether the request waits for a server with capacity. */
    boolean queued;
    /** Whether the response is being streamed to the client. */
    boolean streaming;

    PendingRequest(
            Request request,
            ClassState state,
            Settings settings,
            long token,
            long arrivedAt,
            long firstArrivedAt,
            long expiresAt) {
        this.request = request;
        this.classState = state;
        this.settings = settings;
        this.requestClass = settings.classes().get(request.requestClass());
        this.token = token;
        this.arrivedAt = arrivedAt;
        this.firstArrivedAt = firstArrivedAt;
        this.expiresAt = expiresAt;
    }

    /** An attempt. Its outcome is null while it is in flight. */
    static final class Attempt {
        final ServerState server;
        final long sentAt;
        Outcome outcome;
        /** Whether the response has started. */
        boolean streaming;

        Attempt(ServerState server, long sentAt) {
            this.server = server;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }

    boolean mayAttemptAgain() {
        return attempts.size() < settings.permits().maxAttempts();
    }

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
