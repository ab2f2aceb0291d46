package gatefront.agent;

import gatefront.config.Config;
import gatefront.http.HttpFrontend;
import gatefront.http.HttpUpstream;
import gatefront.policy.AdaptiveBalancer;
import gatefront.policy.Balancer;
import gatefront.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

/**
 * Runs what a request runs through before the agent says that it is ready: a module of its own decides, and
 * what it sends goes over sockets to the agent's own health check. Guards against serving the first seconds
 * with code neither loaded nor compiled, which on a part of a core takes longer than clients wait.
 */
final class Warmup implements Balancer.Actions {
    /**
     * Enough for the compiler to take up what each request passes: the run's line has it do so after a fifth
     * of the usual calls. Danger: with fewer the agent is ready sooner and loses its first seconds.
     */
    private static final int REQUESTS = 150;

    private static final int AT_ONCE = 4;
    /** Every so many a request ends its connection: what dials and accepts is to be compiled, too. */
    private static final int ENDS_EVERY = 4;
    /** However slow the machine is, it begins to serve after this. */
    private static final long MOST_MS = 1_500;
    /** No listed server has this id. */
    private static final long SELF = 0;

    private final Transport transport;
    private final EventLoop loop;
    private final Config config;
    private final HttpUpstream backends;
    private final HttpFrontend clients;
    private final InetSocketAddress own;
    private final IntConsumer then;
    private final Balancer module;
    private final HttpUpstream.Outgoing outgoing;
    private final HttpUpstream.Outgoing ends;
    private int begun;
    private int out;
    private int answered;
    private boolean over;

    private Warmup(
            Transport transport,
            Config config,
            HttpUpstream backends,
            HttpFrontend clients,
            InetSocketAddress own,
            String path,
            IntConsumer then) {
        this.transport = transport;
        this.loop = transport.loop();
        this.config = config;
        this.backends = backends;
        this.clients = clients;
        this.own = own;
        this.then = then;
        this.module = new AdaptiveBalancer(config.settings(), config.seed(), micros(), this);
        this.outgoing = new HttpUpstream.Outgoing(
                HttpMethod.GET, path, example().headers().remove("Request-Id"), HttpUpstream.NO_BODY);
        this.ends = new HttpUpstream.Outgoing(
                HttpMethod.GET, path, outgoing.headers().copy().set("Connection", "close"), HttpUpstream.NO_BODY);
    }

    /**
     * Warms up on the loop and tells there, when that is over, how many requests were answered.
     *
     * @param own an address where this agent listens
     * @param path where it says there whether it is ready
     */
    static void run(
            Transport transport,
            Config config,
            HttpUpstream backends,
            HttpFrontend clients,
            InetSocketAddress own,
            String path,
            IntConsumer then) {
        new Warmup(transport, config, backends, clients, own, path, then).start();
    }

    private void start() {
        loop.schedule(this::end, MOST_MS, TimeUnit.MILLISECONDS);
        Balancer.Server self = new Balancer.Server(SELF, config.settings().zone(), 0, 0, Balancer.Phase.READY, 1, 0);
        backends.self(SELF, own);
        module.servers(micros(), Balancer.ListKind.FULL, List.of(self));
        next();
    }

    private void next() {
        while (!over && out < AT_ONCE && begun < REQUESTS) {
            begun++;
            out++;
            clients.parse(example());
            long now = micros();
            module.request(
                    now,
                    new Balancer.Request(
                            begun, begun % config.classes().size(), 0, 0, 1, now + 1_000_000, false, false));
        }
        if (out == 0) {
            end();
        }
    }

    private void end() {
        if (!over) {
            over = true;
            backends.gone(SELF);
            then.accept(answered);
        }
    }

    private void done() {
        out--;
        loop.execute(this::next); // not from within the module
    }

    /** A request of the first class, as clients send it. */
    private HttpRequest example() {
        boolean safe = config.settings().classes().get(0).semantics() == Balancer.Semantics.SAFE;
        HttpRequest request = new DefaultHttpRequest(
                HttpVersion.HTTP_1_1,
                safe ? HttpMethod.GET : HttpMethod.POST,
                "/" + config.classes().get(0));
        HttpHeaders headers = request.headers();
        headers.set("Host", "self")
                .set("Request-Id", "warm")
                .set("Request-Class", config.classes().get(0))
                .set("Work-Hint", "1000")
                .set(HttpUpstream.REQUEST_TIMEOUT, "1000");
        if (!config.tenants().isEmpty()) {
            headers.set("Tenant", config.tenants().get(0));
        }
        return request;
    }

    private long micros() {
        return transport.nanos() / 1000;
    }

    @Override
    public void send(long request, long server, long timeout) {
        long sentAt = micros();
        backends.send(server, request % ENDS_EVERY == 0 ? ends : outgoing, timeout, result -> {
            answered += result.outcome() == Balancer.Outcome.ERROR ? 1 : 0; // it says that it is not ready
            long now = micros();
            module.outcome(now, request, 0, server, Balancer.Outcome.OK, now - sentAt, true, result.load());
            done();
        });
    }

    @Override
    public void refuse(long request, long retryAfter) {
        done();
    }

    @Override
    public void fail(long request) {
        done();
    }

    @Override
    public void timer(long token, long delay) {
        loop.schedule(
                () -> {
                    if (!over) {
                        module.timer(micros(), token);
                    }
                },
                delay,
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void cancel(long request, int attempt) {}

    @Override
    public void probe(long server) {}

    @Override
    public void sendMessage(int agent, byte[] message) {}

    @Override
    public void closeIdle(long server) {}

    @Override
    public void watchServers() {}

    @Override
    public void fetchServers() {}

    @Override
    public void log(String line) {}
}
