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
    private static final long MARGIN_MICROS = 10_000;

    private static final Pattern SERVER = Pattern.compile("^server (-?\\d+)");

    private final Transport transport;
    private final EventLoop loop;
    private final Balancer.Settings settings;
    private final long seed;
    /** One for each protocol, the one that probes first. */
    private final List<Upstream> upstreams;

    private final Source source;
    private final Balancer balancer;
    private final ResourceBudget budget;
    private final ResourceAccount calls;
    private final ResourceAccount listed;
    private final ClassLimits limits;
    private final RequestCounters tally;
    /** Where use is counted; null where nobody wants it. */
    private UsageMeter usage;
    /**
     * Calls taken and not yet done with, by the module's ids, by their exchanges and by their callers' ids: each
     * goes when it is answered and no attempt is out, which its own guard sees to at its deadline at the latest.
     */
    private final Map<Long, Pending> open = new HashMap<>();

    private final Map<Exchange, Pending> byExchange = new HashMap<>();
    private final Map<String, Pending> byName = new HashMap<>();
    /** Of the servers listed; each goes when the list says so. */
    private final Map<Long, String> names = new HashMap<>();
    /** The monotonic clock is anchored once to the time of day, in which the list tells starts. */
    private final long anchorMicros;

    private long nextId = 1;
    private boolean deciding;
    /** Whether this process has stood still; null where nobody asks. */
    private StallDetector waking;

    private Runnable whenWoken;
    private long patienceMs;
    /** Events of the module that wait until it has heard; no more than came within that time. */
    private final List<Runnable> held = new ArrayList<>();

    /** Where the list of servers comes from, as the module may ask for it. */
    public interface Source {
        /** Subscribes to changes. */
        void watch();

        /** Asks for the whole list once. */
        void fetch();
    }

    /** What is held: calls taken, attempts out, and servers that something is kept for. */
    public record Held(int requests, int attempts, int servers) {}

    /** A call taken and not yet done with. */
    private static final class Pending {
        final long id;
        final ClientRequest call;
        final Exchange exchange;
        final Upstream upstream;
        final List<Upstream.Attempt> attempts = new ArrayList<>(1);
        int out;
        boolean answered;
        /** Whether an answer is on its way to the caller in pieces. */
        boolean passing;

        Payload passed;
        Future<?> guard;

        Pending(long id, ClientRequest call, Exchange exchange, Upstream upstream) {
            this.id = id;
            this.upstream = upstream;
            this.call = call;
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
     * @param module makes the decision module
     */
    public Engine(
            Transport transport,
            Balancer.Settings settings,
            long seed,
            List<Upstream> upstreams,
            Source source,
            ResourceBudget budget,
            Function<Engine, Balancer> module) {
        this.budget = budget;
        this.calls = budget.of(ResourcePurpose.CALLS);
        this.listed = budget.of(ResourcePurpose.SERVERS);
        budget.recounted(ResourcePurpose.CALLS, () -> new ResourceBudget.Count(open.size(), 0));
        budget.recounted(ResourcePurpose.SERVERS, () -> new ResourceBudget.Count(names.size(), 0));
        this.transport = transport;
        this.settings = settings;
        this.limits = new ClassLimits(settings.classes().size());
        this.tally = new RequestCounters(settings.classes().size());
        this.seed = seed;
        this.loop = transport.loop();
        this.upstreams = List.copyOf(upstreams);
        this.source = source;
        this.anchorMicros = transport.wallMicros() - transport.nanos() / 1000;
        this.balancer = module.apply(this);
    }

    /** The decision module in service. */
    public static Balancer usual(Engine engine) {
        return new AdaptiveBalancer(engine.settings, engine.seed, engine.now(), engine);
    }

    /** Microseconds of the clock that the module sees. */
    public long now() {
        return anchorMicros + transport.nanos() / 1000;
    }

    /** The settings have changed; see {@link Balancer#settings}. Requests that are held keep theirs. */
    public void settings(Balancer.Settings changed) {
        int classes = Math.max(tally.classes(), changed.classes().size());
        tally.grow(classes);
        limits.grow(classes);
        event(() -> balancer.settings(now(), changed));
    }

    /** How requests have ended; to be asked on its loop. */
    public RequestCounters tally() {
        return tally;
    }

    /** Counts use there from now on. */
    public void usage(UsageMeter into) {
        usage = into;
    }

    /** How many servers are listed; to be asked on its loop. */
    public int listed() {
        return names.size();
    }

    /** How many of them the module avoids by choice; to be asked on its loop. */
    public int avoided() {
        return balancer.unhealthyServers(now());
    }

    /** What it holds now; to be asked on its loop. */
    public Held held() {
        return new Held(
                Math.max(open.size(), Math.max(byExchange.size(), byName.size())),
                open.values().stream().mapToInt(each -> each.out).sum(),
                servers());
    }

    /** How many servers something is kept for; to be asked on its loop. */
    public int servers() {
        return Math.max(
                names.size(), upstreams.stream().mapToInt(Upstream::size).max().orElse(0));
    }

    /** How many calls of a class may be in progress, by its index; classes without an entry have no limit. */
    public void limits(Map<Integer, Integer> most) {
        limits.set(most);
    }

    /** Answers all that is still held, as out of time. */
    public void giveUpAll() {
        List.copyOf(open.values()).forEach(each -> giveUp(each, Exchange.Failure.TIME_UP));
    }

    // ---- Events ----

    /** Lets an event into the module. One that arises inside another waits its turn on the loop. */
    private void event(Runnable event) {
        event(null, event);
    }

    /**
     * Nothing is decided from now on while {@code by} doubts what this process knows: events wait for {@link #heard()},
     * or for its patience to end.
     *
     * @param patienceMs when it is looked at again at the latest
     * @param woken runs after a standstill, to see to it that somebody tells
     */
    public void wakes(StallDetector by, long patienceMs, Runnable woken) {
        waking = by;
        this.patienceMs = patienceMs;
        whenWoken = woken;
        lookAgain();
    }

    /** Nothing may be happening; looks at the clock. */
    public void beat() {
        if (!doubts()) {
            release();
        }
    }

    /** A whole list has come: what was held back is decided now. */
    public void heard() {
        if (waking != null) {
            waking.heard();
            release();
        }
    }

    private void lookAgain() {
        loop.schedule(this::beat, patienceMs + 1, TimeUnit.MILLISECONDS);
    }

    private boolean doubts() {
        if (waking == null) {
            return false;
        }
        long now = transport.nanos() / 1000;
        if (waking.seen(now)) {
            whenWoken.run();
            lookAgain();
        }
        return waking.doubts(now);
    }

    private void release() {
        if (waking != null && !waking.goesOn()) {
            waking = null;
        }
        if (!held.isEmpty()) {
            List<Runnable> now = List.copyOf(held);
            held.clear();
            now.forEach(Runnable::run);
        }
    }

    /** The same for an event of one call, which is given up if the module fails over it. */
    private void event(Pending pending, Runnable event) {
        if (doubts()) {
            held.add(() -> event(pending, event));
            return;
        }
        decide(pending, event);
    }

    private void decide(Pending pending, Runnable event) {
        if (deciding) {
            loop.execute(() -> decide(pending, event));
            return;
        }
        deciding = true;
        try {
            event.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            say("module: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
            if (pending != null) {
                loop.execute(() -> giveUp(pending, Exchange.Failure.INTERNAL));
            }
        } finally {
            deciding = false;
        }
    }

    /** Guards against a call that the module has lost by a fault of its own: it is still failed once. */
    private void giveUp(Pending pending, Exchange.Failure why) {
        if (!pending.answered) {
            say("request given up: " + why);
            pending.exchange.failed(why);
            tally.failed(pending.call.requestClass());
            answered(pending);
            event(() -> balancer.clientLeft(now(), pending.id));
            abandon(pending);
        }
    }

    /** The list of servers has changed; {@link Balancer.ListKind#FAILED} and no entries if it could not be had. */
    public void servers(Balancer.ListKind kind, List<Endpoint> endpoints) {
        List<Endpoint> taken = room(endpoints);
        Set<Long> gone = new HashSet<>(
                kind == Balancer.ListKind.DELTA || kind == Balancer.ListKind.FAILED ? Set.of() : names.keySet());
        for (Endpoint endpoint : taken) {
            long id = endpoint.server().id();
            gone.remove(id);
            if (names.put(id, endpoint.name()) == null) {
                listed.add(1, 0);
            }
            upstreams.forEach(each -> each.listed(endpoint));
        }
        gone.forEach(id -> upstreams.forEach(each -> each.gone(id)));
        List<Balancer.Server> entries = taken.stream().map(Endpoint::server).toList();
        decide(null, () -> balancer.servers(now(), kind, entries));
        taken.stream()
                .map(Endpoint::server)
                .filter(each -> each.phase() == Balancer.Phase.GONE)
                .forEach(each -> gone.add(each.id()));
        gone.forEach(id -> {
            if (names.remove(id) != null) {
                listed.give(0);
            }
        });
    }

    /** What of a list there is room for: changes of known servers always, for a drain may be among them. */
    private List<Endpoint> room(List<Endpoint> endpoints) {
        if (names.size() + endpoints.size() <= listed.entriesCap()) {
            return endpoints;
        }
        List<Endpoint> taken = new ArrayList<>();
        long fresh = listed.entriesCap() - names.size();
        for (Endpoint each : endpoints) {
            if (names.containsKey(each.server().id()) || fresh-- > 0) {
                taken.add(each);
            }
        }
        if (taken.size() < endpoints.size()) {
            say("list: " + (endpoints.size() - taken.size()) + " servers are not taken, more than the "
                    + listed.entriesCap() + " that may be held");
        }
        return taken;
    }

    /** What a front hands its calls to, for them to go to the servers by an upstream. */
    public Frontend.Listener through(Upstream upstream) {
        return new Frontend.Listener() {
            @Override
            public void call(ClientRequest call, Exchange exchange) {
                take(call, exchange, upstream);
            }

            @Override
            public void callerLeft(Exchange exchange) {
                left(exchange);
            }
        };
    }

    private void take(ClientRequest call, Exchange exchange, Upstream upstream) {
        // Guards against an effect twice, and against one call getting the other's answer: the second is
        // not passed on, whoever sent it and by whatever protocol, and the first goes on unharmed.
        if (byName.containsKey(call.id())) {
            exchange.failed(Exchange.Failure.DUPLICATE);
            tally.failed(call.requestClass());
            return;
        }
        // Guards against falling over with all that is held: what is new is turned away, and told when to come back.
        if (budget.pressure() == ResourceBudget.Pressure.FULL
                || budget.of(ResourcePurpose.ANSWERS).full()
                || !room(call.requestClass())
                || !calls.take(0)) {
            exchange.refused(RETRY_AFTER_MICROS);
            tally.refused(call.requestClass());
            return;
        }
        limits.begun(call.requestClass());
        tally.begun();
        long id = nextId++;
        Pending pending = new Pending(id, call, exchange, upstream);
        open.put(id, pending);
        byExchange.put(exchange, pending);
        byName.put(call.id(), pending);
        long deadline = now() + guard(pending);
        Balancer.Request request = new Balancer.Request(
                id, call.requestClass(), call.tenant(), call.key(), call.hint(), deadline, call.repeated(), false);
        event(pending, () -> {
            if (!pending.answered) { // its caller's time may have passed while it was held back
                balancer.request(now(), request);
            }
        });
    }

    /** Gives a call up when its caller's time from now on has passed; returns that time. */
    private long guard(Pending pending) {
        long left = Math.max(0, 1000 * pending.call.timeoutMs() - MARGIN_MICROS);
        pending.guard = loop.schedule(() -> giveUp(pending, Exchange.Failure.TIME_UP), left, TimeUnit.MICROSECONDS);
        return left;
    }

    /** Whether a class's limit lets one more in; where it does not, staff hear of it now and then. */
    private boolean room(int of) {
        boolean room = limits.room(of);
        long refused = room ? 0 : limits.met(now(), of);
        if (refused > 0) {
            say("limits: class " + of + " is at its limit, " + limits.inProgress(of) + " in progress; refused "
                    + refused + " of it since last said");
        }
        return room;
    }

    private void left(Exchange exchange) {
        Pending pending = byExchange.get(exchange);
        if (pending != null && !pending.answered) {
            tally.failed(pending.call.requestClass());
            answered(pending);
            event(() -> balancer.clientLeft(now(), pending.id));
            abandon(pending);
        }
    }

    /** Ends the attempts that outlive their caller, where the module has left them. */
    private void abandon(Pending pending) {
        pending.attempts.forEach(Upstream.Attempt::cancel);
    }

    private void outcome(Pending pending, int attempt, long server, long spent, Upstream.Result result) {
        pending.out--;
        // Guards against asking every server what one has found to be no good, and against blaming it.
        boolean bad = result.rejected() != null;
        if (!pending.answered && pending.passing) {
            // The front has had the whole of it, or knows that it breaks off.
            if (result.outcome() == Balancer.Outcome.OK) {
                served(pending, spent, pending.passed);
            } else {
                tally.failed(pending.call.requestClass());
            }
            answered(pending);
        } else if (!pending.answered && bad) {
            pending.exchange.rejected(result.rejected());
            tally.failed(pending.call.requestClass());
            answered(pending);
        } else if (!pending.answered && result.served() != null) {
            pending.exchange.served(result.served());
            served(pending, spent, result.served());
            answered(pending);
        }
        Balancer.Outcome outcome = bad ? Balancer.Outcome.CANCELLED : result.outcome();
        forget(pending);
        event(
                pending,
                () -> balancer.outcome(
                        now(), pending.id, attempt, server, outcome, spent, pending.answered, result.load()));
    }

    private void served(Pending pending, long spent, Payload answer) {
        tally.served(pending.call.requestClass());
        if (usage != null) {
            usage.served(
                    pending.call.tenant(),
                    pending.call.requestClass(),
                    spent,
                    pending.call.payload().bytes() + answer.bytes());
        }
    }

    private void answered(Pending pending) {
        pending.answered = true;
        tally.ended();
        BodyStream upload = pending.call.payload().flow();
        if (upload != null && upload.isOpen()) {
            upload.cancel(); // nobody will read the rest
        }
        pending.guard.cancel(false);
        byExchange.remove(pending.exchange);
        forget(pending);
    }

    private void forget(Pending pending) {
        if (pending.answered && pending.out == 0) {
            if (open.remove(pending.id) != null) {
                calls.give(0);
                limits.ended(pending.call.requestClass());
            }
            byName.remove(pending.call.id(), pending);
        }
    }

    // ---- Actions ----

    @Override
    public void send(long request, long server, long timeout) {
        Pending pending = open.get(request);
        if (pending == null || pending.answered) {
            return;
        }
        int attempt = pending.attempts.size();
        long sentAt = now();
        pending.out++;
        pending.attempts.add(pending.upstream.send(server, pending.call.payload(), timeout, new Upstream.Listener() {
            /** Since when the server has had it, and how long it took to answer; negative while it has not. */
            private long since = sentAt;

            private long took = -1;

            @Override
            public void ended(Upstream.Result result) {
                boolean served = result.outcome() == Balancer.Outcome.OK && took >= 0;
                outcome(pending, attempt, server, served ? took : now() - since, result);
            }

            @Override
            public void written() {
                tally.tried();
                if (pending.call.payload().flow() != null && !pending.answered) {
                    guard(pending); // a caller's time counts from its last byte, and so does the server's
                    since = now();
                }
            }

            @Override
            public void spent() {
                pending.guard.cancel(false);
                begins();
            }

            @Override
            public void answering() {
                took = now() - since; // what it then takes to write is no work of the server's
            }

            @Override
            public void begun(Payload answer) {
                if (pending.answered || pending.passing) {
                    pending.attempts.get(attempt).cancel();
                    return;
                }
                pending.passing = true;
                pending.passed = answer;
                pending.guard.cancel(false);
                begins();
                pending.exchange.served(answer);
            }

            private void begins() {
                event(pending, () -> balancer.streamStarted(now(), pending.id, attempt, server, now() - sentAt));
            }
        }));
    }

    @Override
    public void refuse(long request, long retryAfter) {
        Pending pending = open.get(request);
        if (pending != null && !pending.answered) {
            pending.exchange.refused(retryAfter > 0 ? retryAfter : RETRY_AFTER_MICROS);
            tally.refused(pending.call.requestClass());
            answered(pending);
        }
    }

    @Override
    public void fail(long request) {
        Pending pending = open.get(request);
        if (pending != null && !pending.answered) {
            pending.exchange.failed(Exchange.Failure.NOT_SERVED);
            tally.failed(pending.call.requestClass());
            answered(pending);
        }
    }

    @Override
    public void cancel(long request, int attempt) {
        Pending pending = open.get(request);
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
                        result -> event(() ->
                                balancer.probeOutcome(now(), server, result.outcome(), now() - sentAt, result.load())));
    }

    @Override
    public void sendMessage(int agent, byte[] message) {} // the module sends no messages

    @Override
    public void timer(long token, long delay) {
        loop.schedule(() -> event(() -> balancer.timer(now(), token)), delay, TimeUnit.MICROSECONDS);
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
        say(SERVER.matcher(line)
                .replaceFirst(match -> Matcher.quoteReplacement("server " + names.get(Long.valueOf(match.group(1))))));
    }

    private void say(String line) {
        transport.log(line);
    }
}
