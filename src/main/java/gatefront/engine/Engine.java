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
 * Hosts the decision module: the one place where events enter it and where its actions become attempts and responses.
 * It is independent of protocols. The engine and the module are confined to one event loop thread.
 */
public final class Engine implements Balancer.Actions {
    /** Advised wait before a retry of a refused request where the module gives none, in microseconds. */
    public static final long RETRY_AFTER_MICROS = 250_000;
    /** Interval at which it is checked whether the client of a streamed request is still sending, in microseconds. */
    private static final long UPLOAD_CHECK_MICROS = 50_000;
    /** Part of the client's timeout reserved for late timers and for sending the response, in microseconds. */
    private static final long DEADLINE_MARGIN_MICROS = 10_000;

    private static final Pattern SERVER_PREFIX = Pattern.compile("^server (-?\\d+)");

    private final Transport transport;
    final EventLoop loop;
    private final Balancer.Settings settings;
    private final long seed;
    /** One upstream for each protocol; the first one also sends the probes. */
    private final List<Upstream> upstreams;

    private final Source source;
    final Balancer balancer;
    private final ResourceBudget budget;
    private final ResourceAccount requestAccount;
    private final ResourceAccount serverAccount;
    private final ClassLimits classLimits;
    private final RequestCounters counters;
    private final SentRequestIds sentRequestIds;
    /** Records usage; null if usage is not recorded. */
    private UsageMeter usageMeter;
    /**
     * Requests in progress, by the module's id. An entry, here and in the two maps below, is removed once the request
     * has its response and no attempt is outstanding; its deadline timer forces that at the latest.
     */
    private final Map<Long, Pending> pendingById = new HashMap<>();

    private final Map<Exchange, Pending> pendingByExchange = new HashMap<>();
    private final Map<String, Pending> pendingByClientId = new HashMap<>();
    /** Names of the listed servers by id; an entry is removed when its server leaves the list. */
    private final Map<Long, String> serverNames = new HashMap<>();
    /**
     * Offset from the monotonic clock to the time of day, in microseconds. It is taken once at start; the server list
     * gives start times in time of day.
     */
    private final long anchorMicros;

    private long nextId = 1;
    /** Whether the module is running an event. */
    private boolean dispatching;

    final ShutdownResponses shutdownResponses;
    /** Holds back events while the server list may be out of date. */
    private final EventSuspension suspension;

    /** The source of the server list, as the module may ask for it. */
    public interface Source {
        /** Subscribes to changes. */
        void watch();

        /** Requests the full list once. */
        void fetch();
    }

    /** Numbers of requests in progress, outstanding attempts, and servers that state is kept for. */
    public record TrackedCounts(int requests, int attempts, int servers) {}

    /**
     * Creates an engine without requests or servers.
     *
     * @param transport provides the event loop, clock and log
     * @param settings settings of the decision module
     * @param seed seed of the module's random choices
     * @param upstreams connections to the servers, one upstream for each protocol; the first one sends the probes
     * @param source source of the server list; it may be called before this constructor returns
     * @param budget resource budget of the agent
     * @param sentRequestIds ids of requests that are not to be sent again
     * @param balancerFactory creates the decision module
     */
    public Engine(
            Transport transport,
            Balancer.Settings settings,
            long seed,
            List<Upstream> upstreams,
            Source source,
            ResourceBudget budget,
            SentRequestIds sentRequestIds,
            Function<Engine, Balancer> balancerFactory) {
        this.budget = budget;
        this.sentRequestIds = sentRequestIds;
        this.requestAccount = budget.account(ResourcePurpose.CALLS);
        this.serverAccount = budget.account(ResourcePurpose.SERVERS);
        budget.addRecount(ResourcePurpose.CALLS, () -> new ResourceBudget.Count(pendingById.size(), 0));
        budget.addRecount(ResourcePurpose.SERVERS, () -> new ResourceBudget.Count(serverNames.size(), 0));
        this.transport = transport;
        this.suspension = new EventSuspension(transport);
        this.shutdownResponses = new ShutdownResponses(transport, budget.account(ResourcePurpose.SERVER_ANSWERS));
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

    /** Creates the decision module that is used by default. */
    public static Balancer createDefaultBalancer(Engine engine) {
        return new AdaptiveBalancer(engine.settings, engine.seed, engine.now(), engine);
    }

    /** Returns the time that the module sees: the anchored monotonic clock, in microseconds. */
    public long now() {
        return anchorMicros + transport.nanos() / 1000;
    }

    /**
     * Applies changed settings; see {@link Balancer#settings}. Requests that have begun keep the former ones, which
     * their {@link SettingsSnapshot} carry.
     */
    public void updateSettings(Balancer.Settings newSettings) {
        int classes = Math.max(counters.classCount(), newSettings.classes().size());
        counters.grow(classes);
        classLimits.resize(classes);
        dispatch(() -> balancer.settings(now(), newSettings));
    }

    /** Returns the counters of how requests have ended; must be called on the event loop. */
    public RequestCounters counters() {
        return counters;
    }

    /** Records usage in {@code meter} from now on. */
    public void setUsageMeter(UsageMeter meter) {
        usageMeter = meter;
    }

    /** Returns the number of listed servers; must be called on the event loop. */
    public int listedServers() {
        return serverNames.size();
    }

    /** Returns how many ready servers the module avoids because of their health; must be called on the event loop. */
    public int avoidedServers() {
        return balancer.unhealthyServers(now());
    }

    /** Returns the numbers of requests, attempts and servers held now; must be called on the event loop. */
    public TrackedCounts trackedCounts() {
        return new TrackedCounts(
                Math.max(pendingById.size(), Math.max(pendingByExchange.size(), pendingByClientId.size())),
                pendingById.values().stream()
                        .mapToInt(pending -> pending.outstandingAttempts)
                        .sum(),
                trackedServers());
    }

    /** Returns the number of servers that state is kept for; must be called on the event loop. */
    public int trackedServers() {
        return Math.max(
                serverNames.size(),
                upstreams.stream().mapToInt(Upstream::serverCount).max().orElse(0));
    }

    /**
     * Sets how many requests of each class, by its index, may be in progress; a class without an entry has no limit.
     */
    public void setClassLimits(Map<Integer, Integer> maxInProgressByClass) {
        classLimits.setLimits(maxInProgressByClass);
    }

    /** Begins to hold responses back; see {@link ShutdownResponses#begin}. */
    public void beginShutdown(long lateNanos, long endNanos) {
        shutdownResponses.begin(lateNanos, endNanos);
    }

    /** From now on, servers that are silent in the middle of a response are no longer waited for. */
    public void stopWaitingForSilentServers() {
        upstreams.forEach(Upstream::stopWaitingForSilentServers);
    }

    /** Ends all requests in progress of whose response nothing has been passed on, as if their time were up. */
    public void failAllPending() {
        List<Pending> waiting = new ArrayList<>(pendingById.values());
        waiting.removeIf(pending -> pending.streaming && pending.heldResponse == null);
        waiting.forEach(this::deadlinePassed);
    }

    // ---- Events ----

    /** Runs an event of the module. An event that arises inside another one is queued on the event loop. */
    private void dispatch(Runnable event) {
        dispatch(null, event);
    }

    /**
     * Suspends decisions while {@code detector} doubts what this process knows: events are deferred until
     * {@link #fullListReceived()} is called or the detector stops waiting.
     *
     * @param recheckMs longest time until the detector is checked again, in milliseconds
     * @param stallAction run after a stall was detected; it has to request a full server list
     */
    public void setStallDetector(StallDetector detector, long recheckMs, Runnable stallAction) {
        suspension.setDetector(detector, recheckMs, stallAction);
    }

    /** Checks for a stall, as there may be no other event that does. */
    public void checkForStall() {
        suspension.check();
    }

    /** Notes that a full server list has arrived, and runs the deferred events. */
    public void fullListReceived() {
        suspension.fullListReceived();
    }

    /** Runs an event of one request, which is failed if the module throws. */
    void dispatch(Pending pending, Runnable event) {
        if (!suspension.defers(() -> dispatch(pending, event))) {
            runEvent(pending, event);
        }
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

    /**
     * Fails a request. Guards against a request that the module has lost through a fault: it still gets one response.
     */
    private void failPending(Pending pending, Exchange.Failure reason) {
        if (!pending.answered) {
            traceEvent(pending.request, "failed: " + reason);
            logLine("request given up: " + reason + ", " + pending);
            pending.exchange.failed(reason);
            counters.recordError(pending.request.requestClass());
            endAnswered(pending);
        }
    }

    /** Applies a server list; {@link Balancer.ListKind#FAILED} without entries means that it could not be obtained. */
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
            upstreams.forEach(upstream -> upstream.updateServer(endpoint));
        }
        removed.forEach(id -> upstreams.forEach(upstream -> upstream.removeServer(id)));
        List<Balancer.Server> entries = accepted.stream().map(Endpoint::server).toList();
        runEvent(null, () -> balancer.servers(now(), kind, entries));
        accepted.stream()
                .map(Endpoint::server)
                .filter(server -> server.phase() == Balancer.Phase.GONE)
                .forEach(server -> removed.add(server.id()));
        removed.forEach(id -> {
            if (serverNames.remove(id) != null) {
                serverAccount.release(0);
            }
        });
    }

    /** Returns the entries that the budget has room for. Known servers are always included, as one may be draining. */
    private List<Endpoint> withinCapacity(List<Endpoint> endpoints) {
        if (serverNames.size() + endpoints.size() <= serverAccount.entriesCap()) {
            return endpoints;
        }
        List<Endpoint> accepted = new ArrayList<>();
        long remainingNew = serverAccount.entriesCap() - serverNames.size();
        for (Endpoint endpoint : endpoints) {
            if (serverNames.containsKey(endpoint.server().id()) || remainingNew-- > 0) {
                accepted.add(endpoint);
            }
        }
        if (accepted.size() < endpoints.size()) {
            logLine("list: " + (endpoints.size() - accepted.size()) + " servers are not taken, more than the "
                    + serverAccount.entriesCap() + " that may be held");
        }
        return accepted;
    }

    /** Returns a listener for a frontend whose requests are sent through {@code upstream}. */
    public Frontend.Listener listenerFor(Upstream upstream) {
        return new Frontend.Listener() {
            @Override
            public void request(ClientRequest request, long sentNanos, Exchange exchange) {
                accept(request, sentNanos, exchange, upstream);
            }

            @Override
            public void clientLeft(Exchange exchange) {
                abandonRequest(exchange);
            }
        };
    }

    private void accept(ClientRequest request, long sentNanos, Exchange exchange, Upstream upstream) {
        // Guards against running a request twice, and against one request getting the other's response: a second
        // request with the same id is not sent, whatever client and protocol it came from, and the first continues.
        if (pendingByClientId.containsKey(request.id())) {
            rejectDuplicate(request, exchange, "another request with this id is in progress");
            return;
        }
        // Guards against running out of memory with all requests in progress: new ones are refused with a retry-after.
        if (budget.pressure() == ResourceBudget.Pressure.FULL
                || budget.account(ResourcePurpose.ANSWERS).isFull()
                || !admit(request.requestClass())
                || !requestAccount.tryAcquire(0)) {
            traceEvent(request, "refused: a limit of the agent is reached");
            exchange.refused(RETRY_AFTER_MICROS);
            counters.recordShed(request.requestClass());
            return;
        }
        // Guards against running a request twice that comes again after its client has left, or at the other process
        // of an upgrade.
        if (!request.isSafe() && !sentRequestIds.claim(request.id(), transport.machineNanos())) {
            requestAccount.release(0);
            rejectDuplicate(request, exchange, "a request with this id may have run");
            return;
        }
        if (isTracing()) {
            traceEvent(
                    request, "received, class " + request.requestClass() + ", timeout " + request.timeoutMs() + " ms");
        }
        classLimits.requestStarted(request.requestClass());
        counters.recordStarted();
        long id = nextId++;
        Pending pending = new Pending(id, request, exchange, upstream, sentNanos);
        pendingById.put(id, pending);
        pendingByExchange.put(exchange, pending);
        pendingByClientId.put(request.id(), pending);
        long remainingMicros = startDeadlineTimer(pending, sentNanos);
        if (remainingMicros == 0) {
            failPending(pending, Exchange.Failure.TIME_UP);
            return;
        }
        long deadline = now() + remainingMicros;
        Balancer.Request balancerRequest = new Balancer.Request(
                id,
                request.requestClass(),
                request.tenant(),
                request.affinityKey(),
                request.costHint(),
                deadline,
                request.clientRetry(),
                false);
        dispatch(pending, () -> {
            if (!pending.answered) { // the deadline may have passed while the event was deferred
                balancer.request(now(), balancerRequest, request.snapshot().settings());
            }
        });
    }

    private void rejectDuplicate(ClientRequest request, Exchange exchange, String reason) {
        traceEvent(request, "rejected: " + reason);
        exchange.failed(Exchange.Failure.DUPLICATE);
        counters.recordError(request.requestClass());
    }

    /**
     * Starts the timer that fails a request once the client's timeout has passed; returns how long that is from now, in
     * microseconds, 0 if it has passed already.
     */
    long startDeadlineTimer(Pending pending, long sentNanos) {
        long remainingMicros = remainingMicros(pending, sentNanos);
        pending.deadlineTimer = loop.schedule(() -> deadlinePassed(pending), remainingMicros, TimeUnit.MICROSECONDS);
        return remainingMicros;
    }

    private long remainingMicros(Pending pending, long sentNanos) {
        long elapsedMicros = (transport.nanos() - sentNanos) / 1000;
        return Math.max(0, 1000 * pending.request.timeoutMs() - DEADLINE_MARGIN_MICROS - elapsedMicros);
    }

    /**
     * Fails a request whose body is being streamed once the client's timeout has passed since it may have sent the last
     * byte. Until then checks again after a while, as the client may still be sending.
     */
    void scheduleUploadCheck(Pending pending, BodyStream upload) {
        long remainingMicros = remainingMicros(pending, upload.mayBeSentSinceNanos());
        pending.deadlineTimer = loop.schedule(
                () -> {
                    if (remainingMicros(pending, upload.mayBeSentSinceNanos()) == 0) {
                        deadlinePassed(pending);
                    } else {
                        scheduleUploadCheck(pending, upload);
                    }
                },
                Math.min(remainingMicros, UPLOAD_CHECK_MICROS),
                TimeUnit.MICROSECONDS);
    }

    /** Fails a request unless a server has begun a response that can be streamed to the client. */
    private void deadlinePassed(Pending pending) {
        for (Upstream.Attempt attempt : pending.attempts) {
            if (attempt.streamBegunResponse()
                    && (pending.heldResponse == null || pending.heldResponse.passOnIfInTime())) {
                return;
            }
        }
        failPending(pending, Exchange.Failure.TIME_UP);
    }

    /** Returns whether a class's limit admits another request; refusals are logged at a limited rate. */
    private boolean admit(int requestClass) {
        boolean admitted = classLimits.hasCapacity(requestClass);
        long refused = admitted ? 0 : classLimits.takeRefusalsToReport(now(), requestClass);
        if (refused > 0) {
            logLine("limits: class " + requestClass + " is at its limit, " + classLimits.inProgress(requestClass)
                    + " in progress; refused " + refused + " of it since last said");
        }
        return admitted;
    }

    void abandonRequest(Exchange exchange) {
        Pending pending = pendingByExchange.get(exchange);
        if (pending != null && !pending.answered) {
            traceEvent(pending.request, "abandoned: the client has left");
            counters.recordError(pending.request.requestClass());
            endAnswered(pending);
        }
    }

    /**
     * Returns whether a request has no response yet and its client is waiting. Otherwise the request is ended, also if
     * the client's close may lie behind input that cannot be read yet.
     */
    boolean isAwaited(Pending pending) {
        if (!pending.answered) {
            ClientPresence presence = pending.exchange.clientPresence(); // reading may end the request
            if (presence == ClientPresence.LEFT) {
                abandonRequest(pending.exchange);
            } else if (presence == ClientPresence.UNKNOWN && !pending.answered) {
                endUnconfirmed(pending);
            }
        }
        return !pending.answered;
    }

    /** Ends a request whose client may have left: it is refused, unless an attempt may have run. */
    private void endUnconfirmed(Pending pending) {
        refuseOrFail(pending, pending.attemptsSent == 0, "the client's close may lie behind unread input");
    }

    void passOnResponse(Pending pending) {
        pending.heldResponse = null;
        pending.deadlineTimer.cancel(false);
        pending.exchange.served(pending.streamedResponse);
    }

    /** Ends a request of whose response nothing has been passed on, as it would not be complete before the kill. */
    void endUnfinishable(Pending pending) {
        if (!pending.answered && pending.heldResponse != null) {
            logLine("shutdown: response given up, it would not be complete in time, " + pending);
            refuseOrFail(pending, pending.request.isSafe(), "its response would not be complete in time");
        }
    }

    private void refuseOrFail(Pending pending, boolean canBeRefused, String reason) {
        traceEvent(pending.request, (canBeRefused ? "refused: " : "failed: ") + reason);
        if (canBeRefused) {
            pending.exchange.refused(RETRY_AFTER_MICROS);
            counters.recordShed(pending.request.requestClass());
        } else {
            pending.exchange.failed(Exchange.Failure.NOT_SERVED);
            counters.recordError(pending.request.requestClass());
        }
        endAnswered(pending);
    }

    /** Forgets a request that has its response, with the attempts that are left. */
    private void endAnswered(Pending pending) {
        markAnswered(pending);
        dispatch(() -> balancer.clientLeft(now(), pending.id));
        cancelAttempts(pending);
    }

    /** Cancels the attempts that the module has left running after the request ended. */
    private void cancelAttempts(Pending pending) {
        pending.attempts.forEach(Upstream.Attempt::cancel);
    }

    void attemptEnded(
            Pending pending,
            int attempt,
            long server,
            long elapsedMicros,
            Upstream.Result result,
            boolean outcomeReported) {
        pending.outstandingAttempts--;
        if (isTracing()) {
            traceEvent(
                    pending.request,
                    "attempt " + attempt + " ended " + result.outcome() + " after " + elapsedMicros + " us"
                            + (pending.answered ? ", the request had ended" : ""));
        }
        // Guards against retrying on every server a request that one has found invalid, and against blaming that
        // server.
        boolean requestRejected = result.rejection() != null;
        if (!pending.answered && pending.streaming) {
            // The frontend has received the whole response, or knows that it was aborted.
            if (result.outcome() == Balancer.Outcome.OK) {
                recordServed(pending, elapsedMicros, pending.streamedResponse);
            } else {
                if (pending.heldResponse != null) {
                    pending.exchange.failed(Exchange.Failure.NOT_SERVED); // nothing of it has been passed on
                }
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
        if (!outcomeReported) {
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
    }

    private void recordServed(Pending pending, long elapsedMicros, Payload response) {
        counters.recordServed(pending.request.requestClass());
        if (usageMeter != null) {
            usageMeter.record(
                    pending.request, elapsedMicros, pending.request.payload().bodyBytes() + response.bodyBytes());
        }
    }

    private void markAnswered(Pending pending) {
        pending.answered = true;
        counters.recordEnded();
        BodyStream upload = pending.request.payload().bodyStream();
        if (upload != null && upload.isOpen()) {
            upload.cancel(); // no server will read the rest
        }
        pending.deadlineTimer.cancel(false);
        pendingByExchange.remove(pending.exchange);
        removeIfDone(pending);
    }

    private void removeIfDone(Pending pending) {
        if (pending.answered && pending.outstandingAttempts == 0) {
            if (pendingById.remove(pending.id) != null) {
                requestAccount.release(0);
                releaseClassLimit(pending);
                if (!pending.request.isSafe() && pending.attemptsSent == 0) {
                    sentRequestIds.release(pending.request.id(), transport.machineNanos());
                }
            }
            pendingByClientId.remove(pending.request.id(), pending);
        }
    }

    /** No longer counts a request in the limit of its class. */
    void releaseClassLimit(Pending pending) {
        if (pending.countsInClassLimit) {
            pending.countsInClassLimit = false;
            classLimits.requestEnded(pending.request.requestClass());
        }
    }

    // ---- Actions ----

    @Override
    public void send(long request, long server, long timeoutMicros) {
        Pending pending = pendingById.get(request);
        if (pending == null || pending.answered) {
            return;
        }
        int attempt = pending.attempts.size();
        long sentAt = now();
        if (isTracing()) {
            traceEvent(
                    pending.request,
                    "attempt " + attempt + " to server " + serverNames.get(server) + ", timeout " + timeoutMicros
                            + " us");
        }
        pending.outstandingAttempts++;
        Upstream.Listener listener = new AttemptListener(this, pending, attempt, server, sentAt);
        pending.attempts.add(pending.upstream.send(server, pending.request.payload(), timeoutMicros, listener));
    }

    @Override
    public void refuse(long request, long retryAfterMicros) {
        Pending pending = pendingById.get(request);
        if (pending != null && !pending.answered && !pending.streaming) {
            traceEvent(pending.request, "refused by the decision module, retry after " + retryAfterMicros + " us");
            pending.exchange.refused(retryAfterMicros > 0 ? retryAfterMicros : RETRY_AFTER_MICROS);
            counters.recordShed(pending.request.requestClass());
            markAnswered(pending);
        }
    }

    @Override
    public void fail(long request) {
        Pending pending = pendingById.get(request);
        if (pending != null && !pending.answered && !pending.streaming) {
            traceEvent(pending.request, "failed by the decision module");
            pending.exchange.failed(Exchange.Failure.NOT_SERVED);
            counters.recordError(pending.request.requestClass());
            markAnswered(pending);
        }
    }

    /** A response that a server is still sending is streamed, not cut off. */
    @Override
    public void cancel(long request, int attempt) {
        Pending pending = pendingById.get(request);
        if (pending != null
                && attempt < pending.attempts.size()
                && (pending.answered || !pending.attempts.get(attempt).streamBegunResponse())) {
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
                        result -> dispatch(() -> balancer.probeOutcome(
                                now(), server, result.outcome(), now() - sentAt, result.loadReport())));
    }

    @Override
    public void sendMessage(int agent, byte[] message) {} // the module sends no messages

    @Override
    public void timer(long token, long delayMicros) {
        loop.schedule(() -> dispatch(() -> balancer.timer(now(), token)), delayMicros, TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdle(long server) {
        upstreams.forEach(upstream -> upstream.closeIdle(server));
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

    boolean isTracing() {
        return transport.trace().isEnabled();
    }

    void traceEvent(ClientRequest request, String event) {
        transport.trace().request(request.id(), event);
    }

    private void logLine(String line) {
        transport.log(line);
    }
}
