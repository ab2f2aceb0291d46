package gatefront.engine;

import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.limits.ClassLimits;
import gatefront.membership.Endpoint;
import gatefront.policy.AdaptiveBalancer;
import gatefront.policy.Balancer;
import gatefront.recovery.StallDetector;
import gatefront.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Hosts the decision module: the one place where events enter it, and where its actions become attempts and
 * answers. It knows no protocol. One event loop thread owns it and the module.
 */
public final class Engine implements Balancer.Actions {
    /** When a caller that is refused should come back, where the module does not say: in a moment. */
    public static final long RETRY_AFTER_MICROS = 250_000;
    /** Of the caller's time, what the answer's way back and a late wake-up may take. */
    private static final long DEADLINE_MARGIN_MICROS = 10_000;

    private static final Pattern SERVER_PREFIX = Pattern.compile("^server (-?\\d+)");

    private final Transport transport;
    private final EventLoop loop;
    private final Balancer.Settings settings;
    private final long seed;
    /** One for each protocol, the one that probes first. */
    private final List<Upstream> upstreams;

    private final Source source;
    private final Balancer balancer;
    private final ResourceBudget budget;
    private final ResourceAccount requestAccount;
    private final ResourceAccount serverAccount;
    private final ClassLimits classLimits;
    private final RequestCounters counters;
    /** Where use is counted; null where nobody wants it. */
    private UsageMeter usageMeter;
    /**
     * Calls taken and not yet done with, by the module's ids, by their exchanges and by their callers' ids: each
     * goes when it is answered and no attempt is out, which its own guard sees to at its deadline at the latest.
     */
    private final Map<Long, Pending> pendingById = new HashMap<>();

    private final Map<Exchange, Pending> pendingByExchange = new HashMap<>();
    private final Map<String, Pending> pendingByClientId = new HashMap<>();
    /** Of the servers listed; each goes when the list says so. */
    private final Map<Long, String> serverNames = new HashMap<>();
    /** The monotonic clock is anchored once to the time of day, in which the list tells starts. */
    private final long anchorMicros;

    private long nextId = 1;
    private boolean dispatching;
    /** Whether this process has stood still; null where nobody asks. */
    private StallDetector stallDetector;

    private Runnable onStall;
    private long recheckMs;
    /** Events of the module that wait until it has heard; no more than came within that time. */
    private final List<Runnable> deferredEvents = new ArrayList<>();

    /** Where the list of servers comes from, as the module may ask for it. */
    public interface Source {
        /** Subscribes to changes. */
        void watch();

        /** Asks for the whole list once. */
        void fetch();
    }

    /** What is held: calls taken, attempts out, and servers that something is kept for. */
    public record TrackedCounts(int requests, int attempts, int servers) {}

    /** A call taken and not yet done with. */
    private static final class Pending {
        final long id;
        final ClientRequest request;
        final Exchange exchange;
        final Upstream upstream;
        final List<Upstream.Attempt> attempts = new ArrayList<>(1);
        int outstandingAttempts;
        boolean answered;
        /** Whether an answer is on its way to the caller in pieces. */
        boolean streaming;

        Payload streamedResponse;
        Future<?> deadlineTimer;

        Pending(long id, ClientRequest request, Exchange exchange, Upstream upstream) {
            this.id = id;
            this.upstream = upstream;
            this.request = request;
            this.exchange = exchange;
        }
    }

    /**
     * An engine that holds nothing yet.
     *
     * @param transport its loop, clock and log
     * @param settings for the decision module
     * @param seed for its random choices
     * @param upstreams the ways to the servers, one for each protocol; the first is asked for their health
     * @param source where the list comes from; it may be asked before this returns
     * @param budget of the agent
     * @param balancerFactory makes the decision module
     */
    public Engine(
            Transport transport,
            Balancer.Settings settings,
            long seed,
            List<Upstream> upstreams,
            Source source,
            ResourceBudget budget,
            Function<Engine, Balancer> balancerFactory) {
        this.budget = budget;
        this.requestAccount = budget.of(ResourcePurpose.CALLS);
        this.serverAccount = budget.of(ResourcePurpose.SERVERS);
        budget.recounted(ResourcePurpose.CALLS, () -> new ResourceBudget.Count(pendingById.size(), 0));
        budget.recounted(ResourcePurpose.SERVERS, () -> new ResourceBudget.Count(serverNames.size(), 0));
        this.transport = transport;
        this.settings = settings;
        this.classLimits = new ClassLimits(settings.classes().size());
        this.counters = new RequestCounters(settings.classes().size());
        this.seed = seed;
        this.loop = transport.loop();
        this.upstreams = List.copyOf(upstreams);
        this.source = source;
        this.anchorMicros = transport.wallMicros() - transport.nanos() / 1000;
        this.balancer = balancerFactory.apply(this);
    }

    /** The decision module in service. */
    public static Balancer createDefaultBalancer(Engine engine) {
        return new AdaptiveBalancer(engine.settings, engine.seed, engine.now(), engine);
    }

    /** Microseconds of the clock that the module sees. */
    public long now() {
        return anchorMicros + transport.nanos() / 1000;
    }

    /** The settings have changed; see {@link Balancer#settings}. Requests that are held keep theirs. */
    public void updateSettings(Balancer.Settings newSettings) {
        int classes = Math.max(counters.classCount(), newSettings.classes().size());
        counters.grow(classes);
        classLimits.grow(classes);
        dispatch(() -> balancer.settings(now(), newSettings));
    }

    /** How requests have ended; to be asked on its loop. */
    public RequestCounters counters() {
        return counters;
    }

    /** Counts use there from now on. */
    public void setUsageMeter(UsageMeter meter) {
        usageMeter = meter;
    }

    /** How many servers are listed; to be asked on its loop. */
    public int listedServers() {
        return serverNames.size();
    }

    /** How many of them the module avoids by choice; to be asked on its loop. */
    public int avoidedServers() {
        return balancer.avoided(now());
    }

    /** What it holds now; to be asked on its loop. */
    public TrackedCounts trackedCounts() {
        return new TrackedCounts(
                Math.max(pendingById.size(), Math.max(pendingByExchange.size(), pendingByClientId.size())),
                pendingById.values().stream()
                        .mapToInt(each -> each.outstandingAttempts)
                        .sum(),
                trackedServers());
    }

    /** How many servers something is kept for; to be asked on its loop. */
    public int trackedServers() {
        return Math.max(
                serverNames.size(),
                upstreams.stream().mapToInt(Upstream::serverCount).max().orElse(0));
    }

    /** How many calls of a class may be in progress, by its index; classes without an entry have no limit. */
    public void setClassLimits(Map<Integer, Integer> maxInProgressByClass) {
        classLimits.set(maxInProgressByClass);
    }

    /** Answers all that is still held, as out of time. */
    public void failAllPending() {
        List.copyOf(pendingById.values()).forEach(each -> failPending(each, Exchange.Failure.TIME_UP));
    }

    // ---- Events ----

    /** Lets an event into the module. One that arises inside another waits its turn on the loop. */
    private void dispatch(Runnable event) {
        dispatch(null, event);
    }

    /**
     * Suspends decisions while {@code detector} doubts what this process knows: events are deferred until
     * {@link #fullListReceived()} is called or the detector stops waiting.
     *
     * @param recheckMs when it is looked at again at the latest
     * @param stallAction runs after a standstill, to see to it that somebody tells
     */
    public void setStallDetector(StallDetector detector, long recheckMs, Runnable stallAction) {
        stallDetector = detector;
        this.recheckMs = recheckMs;
        onStall = stallAction;
        scheduleStallCheck();
    }

    /** Nothing may be happening; looks at the clock. */
    public void checkForStall() {
        if (!isSuspended()) {
            releaseDeferred();
        }
    }

    /** A whole list has come: what was held back is decided now. */
    public void fullListReceived() {
        if (stallDetector != null) {
            stallDetector.heard();
            releaseDeferred();
        }
    }

    private void scheduleStallCheck() {
        loop.schedule(this::checkForStall, recheckMs + 1, TimeUnit.MILLISECONDS);
    }

    private boolean isSuspended() {
        if (stallDetector == null) {
            return false;
        }
        long now = transport.nanos() / 1000;
        if (stallDetector.seen(now)) {
            onStall.run();
            scheduleStallCheck();
        }
        return stallDetector.doubts(now);
    }

    private void releaseDeferred() {
        if (stallDetector != null && !stallDetector.goesOn()) {
            stallDetector = null;
        }
        if (!deferredEvents.isEmpty()) {
            List<Runnable> now = List.copyOf(deferredEvents);
            deferredEvents.clear();
            now.forEach(Runnable::run);
        }
    }

    /** The same for an event of one call, which is given up if the module fails over it. */
    private void dispatch(Pending pending, Runnable event) {
        if (isSuspended()) {
            deferredEvents.add(() -> dispatch(pending, event));
            return;
        }
        runEvent(pending, event);
    }

    private void runEvent(Pending pending, Runnable event) {
        if (dispatching) {
            loop.execute(() -> runEvent(pending, event));
            return;
        }
        dispatching = true;
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            logLine("module: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
            if (pending != null) {
                loop.execute(() -> failPending(pending, Exchange.Failure.INTERNAL));
            }
        } finally {
            dispatching = false;
        }
    }

    /** Guards against a call that the module has lost by a fault of its own: it is still failed once. */
    private void failPending(Pending pending, Exchange.Failure reason) {
        if (!pending.answered) {
            logLine("request given up: " + reason);
            pending.exchange.failed(reason);
            counters.recordError(pending.request.requestClass());
            markAnswered(pending);
            dispatch(() -> balancer.clientLeft(now(), pending.id));
            cancelAttempts(pending);
        }
    }

    /** The list of servers has changed; {@link Balancer.ListKind#FAILED} and no entries if it could not be had. */
    public void updateServers(Balancer.ListKind kind, List<Endpoint> endpoints) {
        List<Endpoint> accepted = withinCapacity(endpoints);
        Set<Long> removed = new HashSet<>(
                kind == Balancer.ListKind.DELTA || kind == Balancer.ListKind.FAILED ? Set.of() : serverNames.keySet());
        for (Endpoint endpoint : accepted) {
            long id = endpoint.server().id();
            removed.remove(id);
            if (serverNames.put(id, endpoint.name()) == null) {
                serverAccount.add(1, 0);
            }
            upstreams.forEach(each -> each.updateServer(endpoint));
        }
        removed.forEach(id -> upstreams.forEach(each -> each.removeServer(id)));
        List<Balancer.Server> entries = accepted.stream().map(Endpoint::server).toList();
        runEvent(null, () -> balancer.servers(now(), kind, entries));
        accepted.stream()
                .map(Endpoint::server)
                .filter(each -> each.phase() == Balancer.Phase.GONE)
                .forEach(each -> removed.add(each.id()));
        removed.forEach(id -> {
            if (serverNames.remove(id) != null) {
                serverAccount.give(0);
            }
        });
    }

    /** What of a list there is room for: changes of known servers always, for a drain may be among them. */
    private List<Endpoint> withinCapacity(List<Endpoint> endpoints) {
        if (serverNames.size() + endpoints.size() <= serverAccount.entriesCap()) {
            return endpoints;
        }
        List<Endpoint> taken = new ArrayList<>();
        long fresh = serverAccount.entriesCap() - serverNames.size();
        for (Endpoint each : endpoints) {
            if (serverNames.containsKey(each.server().id()) || fresh-- > 0) {
                taken.add(each);
            }
        }
        if (taken.size() < endpoints.size()) {
            logLine("list: " + (endpoints.size() - taken.size()) + " servers are not taken, more than the "
                    + serverAccount.entriesCap() + " that may be held");
        }
        return taken;
    }

    /** What a front hands its calls to, for them to go to the servers by an upstream. */
    public Frontend.Listener listenerFor(Upstream upstream) {
        return new Frontend.Listener() {
            @Override
            public void request(ClientRequest call, Exchange exchange) {
                accept(call, exchange, upstream);
            }

            @Override
            public void clientLeft(Exchange exchange) {
                abandonRequest(exchange);
            }
        };
    }

    private void accept(ClientRequest call, Exchange exchange, Upstream upstream) {
        // Guards against an effect twice, and against one call getting the other's answer: the second is
        // not passed on, whoever sent it and by whatever protocol, and the first goes on unharmed.
        if (pendingByClientId.containsKey(call.id())) {
            exchange.failed(Exchange.Failure.DUPLICATE);
            counters.recordError(call.requestClass());
            return;
        }
        // Guards against falling over with all that is held: what is new is turned away, and told when to come back.
        if (budget.pressure() == ResourceBudget.Pressure.FULL
                || budget.of(ResourcePurpose.ANSWERS).full()
                || !admit(call.requestClass())
                || !requestAccount.take(0)) {
            exchange.refused(RETRY_AFTER_MICROS);
            counters.recordShed(call.requestClass());
            return;
        }
        classLimits.begun(call.requestClass());
        counters.recordStarted();
        long id = nextId++;
        Pending pending = new Pending(id, call, exchange, upstream);
        pendingById.put(id, pending);
        pendingByExchange.put(exchange, pending);
        pendingByClientId.put(call.id(), pending);
        long deadline = now() + startDeadlineTimer(pending);
        Balancer.Request balancerRequest = new Balancer.Request(
                id,
                call.requestClass(),
                call.tenant(),
                call.affinityKey(),
                call.costHint(),
                deadline,
                call.clientRetry(),
                false);
        dispatch(pending, () -> {
            if (!pending.answered) { // its caller's time may have passed while it was held back
                balancer.request(now(), balancerRequest);
            }
        });
    }

    /** Gives a call up when its caller's time from now on has passed; returns that time. */
    private long startDeadlineTimer(Pending pending) {
        long remainingMicros = Math.max(0, 1000 * pending.request.timeoutMs() - DEADLINE_MARGIN_MICROS);
        pending.deadlineTimer = loop.schedule(
                () -> failPending(pending, Exchange.Failure.TIME_UP), remainingMicros, TimeUnit.MICROSECONDS);
        return remainingMicros;
    }

    /** Whether a class's limit lets one more in; where it does not, staff hear of it now and then. */
    private boolean admit(int requestClass) {
        boolean room = classLimits.room(requestClass);
        long refused = room ? 0 : classLimits.met(now(), requestClass);
        if (refused > 0) {
            logLine("limits: class " + requestClass + " is at its limit, " + classLimits.inProgress(requestClass)
                    + " in progress; refused " + refused + " of it since last said");
        }
        return room;
    }

    private void abandonRequest(Exchange exchange) {
        Pending pending = pendingByExchange.get(exchange);
        if (pending != null && !pending.answered) {
            counters.recordError(pending.request.requestClass());
            markAnswered(pending);
            dispatch(() -> balancer.clientLeft(now(), pending.id));
            cancelAttempts(pending);
        }
    }

    /** Ends the attempts that outlive their caller, where the module has left them. */
    private void cancelAttempts(Pending pending) {
        pending.attempts.forEach(Upstream.Attempt::cancel);
    }

    private void attemptEnded(Pending pending, int attempt, long server, long elapsedMicros, Upstream.Result result) {
        pending.outstandingAttempts--;
        // Guards against asking every server what one has found to be no good, and against blaming it.
        boolean requestRejected = result.rejection() != null;
        if (!pending.answered && pending.streaming) {
            // The front has had the whole of it, or knows that it breaks off.
            if (result.outcome() == Balancer.Outcome.OK) {
                recordServed(pending, elapsedMicros, pending.streamedResponse);
            } else {
                counters.recordError(pending.request.requestClass());
            }
            markAnswered(pending);
        } else if (!pending.answered && requestRejected) {
            pending.exchange.rejected(result.rejection());
            counters.recordError(pending.request.requestClass());
            markAnswered(pending);
        } else if (!pending.answered && result.response() != null) {
            pending.exchange.served(result.response());
            recordServed(pending, elapsedMicros, result.response());
            markAnswered(pending);
        }
        Balancer.Outcome outcome = requestRejected ? Balancer.Outcome.CANCELLED : result.outcome();
        removeIfDone(pending);
        dispatch(
                pending,
                () -> balancer.outcome(
                        now(),
                        pending.id,
                        attempt,
                        server,
                        outcome,
                        elapsedMicros,
                        pending.answered,
                        result.loadReport()));
    }

    private void recordServed(Pending pending, long elapsedMicros, Payload response) {
        counters.recordServed(pending.request.requestClass());
        if (usageMeter != null) {
            usageMeter.record(
                    pending.request.tenant(),
                    pending.request.requestClass(),
                    elapsedMicros,
                    pending.request.payload().bodyBytes() + response.bodyBytes());
        }
    }

    private void markAnswered(Pending pending) {
        pending.answered = true;
        counters.recordEnded();
        BodyStream upload = pending.request.payload().bodyStream();
        if (upload != null && upload.isOpen()) {
            upload.cancel(); // nobody will read the rest
        }
        pending.deadlineTimer.cancel(false);
        pendingByExchange.remove(pending.exchange);
        removeIfDone(pending);
    }

    private void removeIfDone(Pending pending) {
        if (pending.answered && pending.outstandingAttempts == 0) {
            if (pendingById.remove(pending.id) != null) {
                requestAccount.give(0);
                classLimits.ended(pending.request.requestClass());
            }
            pendingByClientId.remove(pending.request.id(), pending);
        }
    }

    // ---- Actions ----

    @Override
    public void send(long request, long server, long timeout) {
        Pending pending = pendingById.get(request);
        if (pending == null || pending.answered) {
            return;
        }
        int attempt = pending.attempts.size();
        long sentAt = now();
        pending.outstandingAttempts++;
        pending.attempts.add(pending.upstream.send(server, pending.request.payload(), timeout, new Upstream.Listener() {
            /** Since when the server has had it, and how long it took to answer; negative while it has not. */
            private long since = sentAt;

            private long took = -1;

            @Override
            public void onResult(Upstream.Result result) {
                boolean served = result.outcome() == Balancer.Outcome.OK && took >= 0;
                attemptEnded(pending, attempt, server, served ? took : now() - since, result);
            }

            @Override
            public void onRequestSent() {
                counters.recordAttempt();
                if (pending.request.payload().bodyStream() != null && !pending.answered) {
                    startDeadlineTimer(pending); // a caller's time counts from its last byte, and so does the server's
                    since = now();
                }
            }

            @Override
            public void onRequestStreaming() {
                pending.deadlineTimer.cancel(false);
                begins();
            }

            @Override
            public void onResponseStarted() {
                took = now() - since; // what it then takes to write is no work of the server's
            }

            @Override
            public void onResponseStreaming(Payload answer) {
                if (pending.answered || pending.streaming) {
                    pending.attempts.get(attempt).cancel();
                    return;
                }
                pending.streaming = true;
                pending.streamedResponse = answer;
                pending.deadlineTimer.cancel(false);
                begins();
                pending.exchange.served(answer);
            }

            private void begins() {
                dispatch(pending, () -> balancer.streamStarted(now(), pending.id, attempt, server, now() - sentAt));
            }
        }));
    }

    @Override
    public void refuse(long request, long retryAfter) {
        Pending pending = pendingById.get(request);
        if (pending != null && !pending.answered) {
            pending.exchange.refused(retryAfter > 0 ? retryAfter : RETRY_AFTER_MICROS);
            counters.recordShed(pending.request.requestClass());
            markAnswered(pending);
        }
    }

    @Override
    public void fail(long request) {
        Pending pending = pendingById.get(request);
        if (pending != null && !pending.answered) {
            pending.exchange.failed(Exchange.Failure.NOT_SERVED);
            counters.recordError(pending.request.requestClass());
            markAnswered(pending);
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Pending pending = pendingById.get(request);
        if (pending != null && attempt < pending.attempts.size()) {
            pending.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void probe(long server) {
        long sentAt = now();
        upstreams
                .get(0)
                .probe(
                        server,
                        result -> dispatch(() ->
                                balancer.probed(now(), server, result.outcome(), now() - sentAt, result.loadReport())));
    }

    @Override
    public void tell(int agent, byte[] message) {} // the module sends no messages

    @Override
    public void timer(long token, long delay) {
        loop.schedule(() -> dispatch(() -> balancer.timer(now(), token)), delay, TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdle(long server) {
        upstreams.forEach(each -> each.closeIdle(server));
    }

    @Override
    public void watchServers() {
        loop.execute(source::watch);
    }

    @Override
    public void fetchServers() {
        loop.execute(source::fetch);
    }

    @Override
    public void log(String line) {
        logLine(SERVER_PREFIX
                .matcher(line)
                .replaceFirst(
                        match -> Matcher.quoteReplacement("server " + serverNames.get(Long.valueOf(match.group(1))))));
    }

    private void logLine(String line) {
        transport.log(line);
    }
}
