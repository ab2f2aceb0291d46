package gatefront.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A balancer that verifies that its host keeps the contract of {@link Balancer}. Wrong use throws an exception that
 * describes it, and the event is not passed on. It is meant for the development of a host; {@link
 * AdaptiveBalancer} itself ignores wrong events where it can.
 */
public final class CheckedBalancer implements Balancer {
    /** The attempts of one request. */
    private static final class TrackedRequest {
        /** Number of attempts sent. */
        int attemptsSent;

        /** Bit set of the attempts that have ended. */
        long endedAttempts;

        boolean answered;
    }

    /** Passes the actions on to the host and counts the attempts. */
    private final class CountingActions implements Actions {
        private final Actions host;

        CountingActions(Actions host) {
            this.host = host;
        }

        @Override
        public void send(long request, long server, long timeout) {
            requests.get(request).attemptsSent++;
            host.send(request, server, timeout);
        }

        @Override
        public void refuse(long request, long retryAfter) {
            markAnswered(request);
            host.refuse(request, retryAfter);
        }

        @Override
        public void fail(long request) {
            markAnswered(request);
            host.fail(request);
        }

        @Override
        public void cancel(long request, int attempt) {
            host.cancel(request, attempt);
        }

        @Override
        public void probe(long server) {
            host.probe(server);
        }

        @Override
        public void sendMessage(int agent, byte[] message) {
            host.sendMessage(agent, message);
        }

        @Override
        public void timer(long token, long delay) {
            host.timer(token, delay);
        }

        @Override
        public void closeIdle(long server) {
            host.closeIdle(server);
        }

        @Override
        public void watchServers() {
            host.watchServers();
        }

        @Override
        public void fetchServers() {
            host.fetchServers();
        }

        @Override
        public void log(String line) {
            host.log(line);
        }
    }

    private Settings settings;
    private final Balancer balancer;
    private final Map<Long, TrackedRequest> requests = new HashMap<>();
    private long lastEventAt;
    private boolean inEvent;

    /**
     * Creates a checked {@link AdaptiveBalancer}.
     *
     * @param settings the settings
     * @param seed the seed of its random choices
     * @param now the current time in microseconds
     * @param actions the host
     */
    public CheckedBalancer(Settings settings, long seed, long now, Actions actions) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.lastEventAt = now;
        Actions counted = new CountingActions(Objects.requireNonNull(actions, "actions"));
        this.balancer = new AdaptiveBalancer(settings, seed, now, counted);
    }

    @Override
    public void servers(long now, ListKind kind, List<Server> entries) {
        Objects.requireNonNull(kind, "kind");
        for (Server entry : Objects.requireNonNull(entries, "entries")) {
            Objects.requireNonNull(entry, "an entry");
        }
        handle(now, () -> balancer.servers(now, kind, entries));
    }

    @Override
    public void request(long now, Request request) {
        request(now, request, settings);
    }

    @Override
    public void request(long now, Request request, Settings settingsAtStart) {
        Objects.requireNonNull(request, "request");
        Objects.checkIndex(request.requestClass(), settingsAtStart.classes().size());
        if (requests.containsKey(request.id())) {
            throw new IllegalArgumentException("request id " + request.id() + " is still in use");
        }
        handle(now, () -> {
            requests.put(request.id(), new TrackedRequest());
            balancer.request(now, request, settingsAtStart);
        });
    }

    @Override
    public void streamStarted(long now, long request, int attempt, long server, long elapsed) {
        requireInFlight(request, attempt);
        handle(now, () -> balancer.streamStarted(now, request, attempt, server, elapsed));
    }

    @Override
    public void outcome(
            long now,
            long request,
            int attempt,
            long server,
            Outcome outcome,
            long elapsed,
            boolean closed,
            double[] load) {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(load, "load");
        TrackedRequest tracked = requireInFlight(request, attempt);
        handle(now, () -> {
            tracked.endedAttempts |= 1L << attempt;
            tracked.answered |= closed;
            balancer.outcome(now, request, attempt, server, outcome, elapsed, closed, load);
            forgetIfEnded(request, tracked);
        });
    }

    @Override
    public void clientLeft(long now, long request) {
        handle(now, () -> {
            if (requests.containsKey(request)) {
                balancer.clientLeft(now, request);
                markAnswered(request);
            }
        });
    }

    @Override
    public void probeOutcome(long now, long server, Outcome outcome, long elapsed, double[] load) {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(load, "load");
        handle(now, () -> balancer.probeOutcome(now, server, outcome, elapsed, load));
    }

    @Override
    public void message(long now, int agent, byte[] message) {
        Objects.requireNonNull(message, "message");
        handle(now, () -> balancer.message(now, agent, message));
    }

    @Override
    public void settings(long now, Settings changed) {
        if (Objects.requireNonNull(changed, "changed").classes().size()
                < settings.classes().size()) {
            throw new IllegalArgumentException(
                    "classes cannot be removed: " + changed.classes().size() + " left of "
                            + settings.classes().size());
        }
        handle(now, () -> {
            settings = changed;
            balancer.settings(now, changed);
        });
    }

    @Override
    public int unhealthyServers(long now) {
        return balancer.unhealthyServers(now);
    }

    @Override
    public void timer(long now, long token) {
        handle(now, () -> balancer.timer(now, token));
    }

    private void handle(long now, Runnable handler) {
        if (inEvent) {
            throw new IllegalStateException("an action has called back into the balancer");
        }
        if (now < lastEventAt) {
            throw new IllegalArgumentException("time runs backwards: " + now + " after " + lastEventAt);
        }
        lastEventAt = now;
        inEvent = true;
        try {
            handler.run();
        } finally {
            inEvent = false;
        }
    }

    private TrackedRequest requireInFlight(long request, int attempt) {
        TrackedRequest tracked = requests.get(request);
        if (tracked == null) {
            throw new IllegalArgumentException("request " + request + " is not known, or has ended");
        }
        Objects.checkIndex(attempt, tracked.attemptsSent);
        if ((tracked.endedAttempts & 1L << attempt) != 0) {
            throw new IllegalArgumentException("attempt " + attempt + " of request " + request + " has ended");
        }
        return tracked;
    }

    private void markAnswered(long request) {
        TrackedRequest tracked = requests.get(request);
        tracked.answered = true;
        forgetIfEnded(request, tracked);
    }

    private void forgetIfEnded(long request, TrackedRequest tracked) {
        if (tracked.answered && Long.bitCount(tracked.endedAttempts) == tracked.attemptsSent) {
            requests.remove(request);
        }
    }
}
