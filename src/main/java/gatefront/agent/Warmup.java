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
 * Exercises the request path before the agent reports that it is ready. A separate decision module routes warm-up
 * requests, which go over sockets to the agent's own health check. Guards against serving the first seconds with code
 * that is neither loaded nor compiled, which on a fraction of a core takes longer than clients wait.
 */
final class Warmup implements Balancer.Actions {
    /**
     * Number of warm-up requests: enough for the JIT compiler to compile the request path, given that the command line
     * lowers its thresholds to a fifth of the default. Danger: with fewer, the agent is ready sooner but fails requests
     * in its first seconds.
     */
    private static final int REQUESTS = 150;

    /** Maximum number of warm-up requests in flight. */
    private static final int MAX_IN_FLIGHT = 4;
    /** Every n-th request closes its connection, so that connecting and accepting are compiled, too. */
    private static final int CLOSE_EVERY = 4;
    /** Maximum duration of the warm-up, however slow the machine is, in milliseconds. */
    private static final long TIMEOUT_MS = 1_500;
    /** Id of the agent itself as a server; no listed server has it. */
    private static final long SELF_ID = 0;

    private final Transport transport;
    private final EventLoop loop;
    private final Config config;
    private final HttpUpstream httpUpstream;
    private final HttpFrontend httpFrontend;
    private final InetSocketAddress ownAddress;
    private final IntConsumer onFinished;
    private final Balancer balancer;
    private final HttpUpstream.OutgoingRequest keepAliveRequest;
    private final HttpUpstream.OutgoingRequest closingRequest;
    private int started;
    private int inFlight;
    private int responses;
    private boolean finished;

    private Warmup(
            Transport transport,
            Config config,
            HttpUpstream httpUpstream,
            HttpFrontend httpFrontend,
            InetSocketAddress ownAddress,
            String path,
            IntConsumer onFinished) {
        this.transport = transport;
        this.loop = transport.loop();
        this.config = config;
        this.httpUpstream = httpUpstream;
        this.httpFrontend = httpFrontend;
        this.ownAddress = ownAddress;
        this.onFinished = onFinished;
        this.balancer = new AdaptiveBalancer(config.settings(), config.seed(), nowMicros(), this);
        this.keepAliveRequest = new HttpUpstream.OutgoingRequest(
                HttpMethod.GET, path, exampleRequest().headers().remove("Request-Id"), HttpUpstream.NO_BODY);
        this.closingRequest = new HttpUpstream.OutgoingRequest(
                HttpMethod.GET,
                path,
                keepAliveRequest.headers().copy().set("Connection", "close"),
                HttpUpstream.NO_BODY);
    }

    /**
     * Runs the warm-up on the loop and calls back there with the number of responses.
     *
     * @param ownAddress an address on which this agent listens
     * @param path the path of the health check at that address
     */
    static void run(
            Transport transport,
            Config config,
            HttpUpstream httpUpstream,
            HttpFrontend httpFrontend,
            InetSocketAddress ownAddress,
            String path,
            IntConsumer onFinished) {
        new Warmup(transport, config, httpUpstream, httpFrontend, ownAddress, path, onFinished).start();
    }

    private void start() {
        loop.schedule(this::finish, TIMEOUT_MS, TimeUnit.MILLISECONDS);
        Balancer.Server self = new Balancer.Server(SELF_ID, config.settings().zone(), 0, 0, Balancer.Phase.READY, 1, 0);
        httpUpstream.addSelf(SELF_ID, ownAddress);
        balancer.servers(nowMicros(), Balancer.ListKind.FULL, List.of(self));
        sendNext();
    }

    private void sendNext() {
        while (!finished && inFlight < MAX_IN_FLIGHT && started < REQUESTS) {
            started++;
            inFlight++;
            httpFrontend.parse(exampleRequest());
            long now = nowMicros();
            balancer.request(
                    now,
                    new Balancer.Request(
                            started, started % config.classes().size(), 0, 0, 1, now + 1_000_000, false, false));
        }
        if (inFlight == 0) {
            finish();
        }
    }

    private void finish() {
        if (!finished) {
            finished = true;
            httpUpstream.removeServer(SELF_ID);
            onFinished.accept(responses);
        }
    }

    private void requestDone() {
        inFlight--;
        // Scheduled, since the module must not be called from within one of its own calls.
        loop.execute(this::sendNext);
    }

    /** Creates a request of the first class, as a client sends it. */
    private HttpRequest exampleRequest() {
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

    private long nowMicros() {
        return transport.nanos() / 1000;
    }

    @Override
    public void send(long request, long server, long timeout) {
        long sentAt = nowMicros();
        httpUpstream.send(server, request % CLOSE_EVERY == 0 ? closingRequest : keepAliveRequest, timeout, result -> {
            // The health check of an agent that is not ready responds with an error.
            responses += result.outcome() == Balancer.Outcome.ERROR ? 1 : 0;
            long now = nowMicros();
            balancer.outcome(now, request, 0, server, Balancer.Outcome.OK, now - sentAt, true, result.loadReport());
            requestDone();
        });
    }

    @Override
    public void refuse(long request, long retryAfter) {
        requestDone();
    }

    @Override
    public void fail(long request) {
        requestDone();
    }

    @Override
    public void timer(long token, long delay) {
        loop.schedule(
                () -> {
                    if (!finished) {
                        balancer.timer(nowMicros(), token);
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
