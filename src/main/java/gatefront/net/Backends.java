package gatefront.net;

import gatefront.Balancer.Outcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The connections to the servers: a pool, one request a connection, attempts and probes with their outcomes.
 * All of it runs on the agent's event loop, and every result is queued there, not handed over in a call.
 */
final class Backends {
    /** What is sent: method, target and body go on as they came. */
    record Outgoing(HttpMethod method, String uri, HttpHeaders headers, ByteBuf body) { }

    /** How an attempt or probe ended; the body and its type are those of a served answer, else null. */
    record Result(Outcome outcome, double[] load, ByteBuf body, String contentType) { }

    static final String REQUEST_TIMEOUT = "Request-Timeout-Ms";
    static final int BODY_MAX = 64 << 10;
    private static final double[] NO_LOAD = new double[0];
    /** The part of the servers' idle time after which a connection is not used again. */
    private static final double IDLE_PART = 0.75;
    private static final long SWEEP_SECONDS = 1;
    private static final long PROBE_TIMEOUT_MICROS = 250_000;
    /** The names of the values as the answers' headers have them, where the settings say otherwise. */
    private static final Map<String, String> HEADER_NAMES = Map.of("concurrent", "inflight", "depth", "queue",
        "load_share", "util", "mean_ms", "latency_ms", "tps", "qps", "err_ps", "eps");

    private final EventLoop loop;
    private final Config config;
    private final Bootstrap bootstrap;
    private final long idleNanos;
    private final int connectionsMost;
    private final Map<Long, Pool> pools = new HashMap<>();
    private int connections;

    /** What is kept for one server. */
    private static final class Pool {
        InetSocketAddress address;
        /** Most recently used first: what is not needed grows old and is closed. */
        final Deque<Connection> idle = new ArrayDeque<>();
        final Set<Attempt> connecting = new HashSet<>();
    }

    Backends(EventLoop loop, Config config, int connectionsMost) {
        this.loop = loop;
        this.config = config;
        this.connectionsMost = connectionsMost;
        this.idleNanos = (long) (1000 * IDLE_PART * config.idleCloseMicros());
        this.bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (config.connectTimeoutMicros() / 1000))
            .option(ChannelOption.TCP_NODELAY, true);
        loop.scheduleWithFixedDelay(this::closeOld, SWEEP_SECONDS, SWEEP_SECONDS, TimeUnit.SECONDS);
    }

    /** Applies a line of the server list. */
    void listed(Discovery.Endpoint endpoint) {
        Pool pool = pools.computeIfAbsent(endpoint.server().id(), id -> new Pool());
        switch (endpoint.server().phase()) {
            case READY -> {
                if (!endpoint.address().equals(pool.address)) {
                    closeIdle(endpoint.server().id());
                }
                pool.address = endpoint.address();
            }
            case DRAINING, GONE -> gone(endpoint.server().id());
        }
    }

    /**
     * Nothing new goes to this server. Guards against a request that is written when its connection comes up
     * only after the drain was told.
     */
    void gone(long server) {
        Pool pool = pools.get(server);
        if (pool != null) {
            List.copyOf(pool.connecting).forEach(each -> each.end(Outcome.NEVER_SENT));
            closeIdle(server);
        }
    }

    void closeIdle(long server) {
        Pool pool = pools.get(server);
        while (pool != null && !pool.idle.isEmpty()) {
            pool.idle.pollFirst().channel.close();
        }
    }

    private void closeOld() {
        for (Pool pool : pools.values()) {
            while (!pool.idle.isEmpty() && pool.idle.peekLast().old()) {
                pool.idle.pollLast().channel.close();
            }
        }
    }

    /** Makes room under the limit on sockets by closing the connection that has been idle for longest. */
    private boolean roomForOne() {
        if (connections < connectionsMost) {
            return true;
        }
        Connection oldest = null;
        for (Pool pool : pools.values()) {
            Connection last = pool.idle.peekLast();
            if (last != null && (oldest == null || last.idleSince - oldest.idleSince < 0)) {
                oldest = last;
            }
        }
        if (oldest == null) {
            return false;
        }
        oldest.channel.close();
        return connections < connectionsMost;
    }

    /** Sends a request; a time-out of 0 is none. The result comes later, exactly once. */
    Attempt send(long server, Outgoing request, long timeoutMicros, Consumer<Result> then) {
        Attempt attempt = new Attempt(request, timeoutMicros, then);
        attempt.start(server);
        return attempt;
    }

    /** Asks a server for its health. */
    void probe(long server, Consumer<Result> then) {
        Outgoing request = new Outgoing(HttpMethod.GET, config.loadByProbe() ? "/load" : "/healthz",
            new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        new Attempt(request, PROBE_TIMEOUT_MICROS, then).start(server);
    }

    /** One request on its way to a server, or a probe. */
    final class Attempt {
        private final Outgoing request;
        private final Consumer<Result> then;
        private final long endAt;
        private final boolean limited;
        private final Future<?> timer;
        private Pool pool;
        private Connection connection;
        private Channel dialled;
        private boolean written;
        private boolean ended;

        private Attempt(Outgoing request, long timeoutMicros, Consumer<Result> then) {
            this.request = request;
            this.then = then;
            this.limited = timeoutMicros > 0;
            this.endAt = System.nanoTime() + 1000 * timeoutMicros;
            this.timer = limited
                ? loop.schedule(() -> end(Outcome.TIMEOUT), timeoutMicros, TimeUnit.MICROSECONDS) : null;
        }

        private void start(long server) {
            pool = pools.get(server);
            if (pool == null || pool.address == null) {
                end(Outcome.NEVER_SENT);
                return;
            }
            Connection idle = pool.idle.pollFirst();
            while (idle != null && (!idle.channel.isActive() || idle.old())) {
                idle.channel.close();
                idle = pool.idle.pollFirst();
            }
            if (idle != null) {
                write(idle);
            } else if (roomForOne()) {
                connect();
            } else {
                end(Outcome.NEVER_SENT); // Guards against running out of descriptors.
            }
        }

        private void connect() {
            Connection fresh = new Connection(pool);
            pool.connecting.add(this);
            connections++;
            var connecting = bootstrap.clone().handler(fresh).connect(pool.address);
            dialled = connecting.channel();
            dialled.closeFuture().addListener(closed -> connections--);
            connecting.addListener(done -> {
                pool.connecting.remove(this);
                if (ended) {
                    dialled.close();
                } else if (done.isSuccess()) {
                    write(fresh);
                } else {
                    end(Outcome.CONNECT_FAILED);
                }
            });
        }

        private void write(Connection to) {
            connection = to;
            to.attempt = this;
            var message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri,
                request.body.retainedDuplicate());
            message.headers().set(request.headers);
            HttpHeaders headers = message.headers();
            if (!headers.contains(HttpHeaderNames.HOST)) {
                headers.set(HttpHeaderNames.HOST, "backend");
            }
            if (request.body.isReadable() || !request.method.equals(HttpMethod.GET)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.readableBytes());
            }
            if (limited) {
                headers.set(REQUEST_TIMEOUT, Math.max(1, (endAt - System.nanoTime()) / 1_000_000));
            }
            to.channel.writeAndFlush(message).addListener(done -> {
                written |= done.isSuccess();
                if (!done.isSuccess()) {
                    end(Outcome.CONNECT_FAILED); // the last byte never left, so it cannot have begun
                }
            });
        }

        /** The connection has ended under the attempt. Before its last byte was written it did not run. */
        private void broken() {
            end(written ? Outcome.RESET : Outcome.CONNECT_FAILED);
        }

        void cancel() {
            end(Outcome.CANCELLED);
        }

        private void end(Outcome outcome) {
            end(new Result(outcome, NO_LOAD, null, null), false);
        }

        private void end(Result result, boolean reusable) {
            if (ended) {
                return;
            }
            ended = true;
            if (timer != null) {
                timer.cancel(false);
            }
            if (pool != null) {
                pool.connecting.remove(this);
            }
            if (connection != null) {
                connection.attempt = null;
                if (reusable && written) {
                    connection.idleSince = System.nanoTime();
                    pool.idle.addFirst(connection);
                } else {
                    connection.channel.close(); // what may still come on it belongs to nobody
                }
            } else if (dialled != null) {
                dialled.close();
            }
            loop.execute(() -> then.accept(result));
        }
    }

    /** One connection to a server. */
    private final class Connection extends ChannelInitializer<Channel> {
        private final Pool pool;
        private Channel channel;
        /** The attempt that uses it, or null. */
        private Attempt attempt;
        private long idleSince;

        Connection(Pool pool) {
            this.pool = pool;
        }

        boolean old() {
            return System.nanoTime() - idleSince >= idleNanos;
        }

        @Override
        protected void initChannel(Channel ch) {
            channel = ch;
            ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(BODY_MAX),
                new Answers(this));
        }
    }

    /** Turns what arrives on a connection into the outcome of its attempt. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Connection connection;

        Answers(Connection connection) {
            this.connection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Attempt attempt = connection.attempt;
            if (attempt == null) {
                ctx.close(); // an answer to nothing
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            if (response.decoderResult().isFailure()) {
                attempt.broken(); // cut off or not HTTP: nothing of it is served
                return;
            }
            int status = response.status().code();
            boolean turnedAway = (status == 503 || status == 504)
                && "1".equals(response.headers().get("Not-Started"));
            Outcome outcome = status == 200 ? Outcome.OK : turnedAway ? Outcome.FULL : Outcome.ERROR;
            boolean served = outcome == Outcome.OK;
            attempt.end(new Result(outcome, load(attempt, response),
                served ? response.content().retain() : null,
                served ? response.headers().get(HttpHeaderNames.CONTENT_TYPE) : null),
                HttpUtil.isKeepAlive(response));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connection.pool.idle.remove(connection);
            if (connection.attempt != null) {
                connection.attempt.broken();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // reset, or an answer too large to pass on
        }
    }

    /** The load report of an answer, in the order of the settings' fields; empty if there is none. */
    private double[] load(Attempt attempt, FullHttpResponse response) {
        String text = response.headers().get("Server-Load");
        if (text == null && attempt.request.uri.equals("/load")) {
            text = response.content().toString(StandardCharsets.US_ASCII);
        }
        if (text == null || config.settings().loadFields().isEmpty()) {
            return NO_LOAD;
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : text.split(",")) {
            int equals = pair.indexOf('=');
            try {
                values.put(pair.substring(0, Math.max(0, equals)).trim(),
                    Double.parseDouble(pair.substring(equals + 1).trim()));
            } catch (NumberFormatException e) {
                return NO_LOAD;
            }
        }
        List<Double> load = new ArrayList<>();
        for (String name : config.loadFields()) {
            Double value = values.getOrDefault(name, values.get(HEADER_NAMES.getOrDefault(name, name)));
            if (value == null) {
                return NO_LOAD;
            }
            load.add(value);
        }
        return load.stream().mapToDouble(Double::doubleValue).toArray();
    }
}
