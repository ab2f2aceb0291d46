package gatefront.net;

import gatefront.Balancer;
import gatefront.net.Backends.Outgoing;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The application's side: requests in, final answers out. Each exchange is answered once; what is asked in
 * advance on a connection waits for the answer before it. All of it runs on the agent's event loop.
 */
final class ClientServer {
    /** What the agent hears. */
    interface Listener {
        /** A well-formed request has come; it is owed one answer through its exchange. */
        void request(Incoming request, Exchange exchange);

        /** The client has closed its connection with this exchange unanswered. */
        void clientLeft(Exchange exchange);
    }

    /** A client's request, its names resolved to the settings' indexes. Key and hint are 0 if not given. */
    record Incoming(int requestClass, int tenant, long key, long hint, long timeoutMs, boolean repeated,
                    Outgoing forward) { }

    /** What goes from hop to hop only, or is set anew. */
    private static final List<CharSequence> NOT_FORWARDED = List.of(HttpHeaderNames.CONNECTION, "Keep-Alive",
        "Proxy-Connection", HttpHeaderNames.TE, HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT, HttpHeaderNames.CONTENT_LENGTH);
    private static final long TIMEOUT_MS_MAX = 3_600_000;
    /** Requests read ahead on one connection before it is left alone. */
    private static final int AHEAD_MOST = 4;
    private static final long LEFT_ALONE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Config config;
    private final Listener listener;
    private final BooleanSupplier ready;
    private final int connectionsMost;
    private final Channel server;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private boolean draining;

    /** Listens; fails with an exception if it cannot. Called from outside the loop. */
    ClientServer(EventLoop loop, Config config, int connectionsMost, BooleanSupplier ready, Listener listener)
            throws IOException {
        this.config = config;
        this.listener = listener;
        this.ready = ready;
        this.connectionsMost = connectionsMost;
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024).option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(Backends.BODY_MAX),
                        new Connection(ch));
                }
            }).bind(config.listen()).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + config.listen() + ": " + bound.cause().getMessage());
        }
        this.server = bound.channel();
        loop.scheduleWithFixedDelay(this::closeLeftAlone, 1, 1, TimeUnit.SECONDS);
    }

    Channel channel() {
        return server;
    }

    /** From now on each answer is the last of its connection, and connections in no use are closed. */
    void drain() {
        draining = true;
        closeIdle();
    }

    /** Takes no further connections. */
    void stopListening() {
        server.close();
        closeIdle();
    }

    /** Whether no connection is left. */
    boolean isEmpty() {
        return connections.isEmpty();
    }

    private void closeIdle() {
        List.copyOf(connections).stream().filter(each -> each.current == null).forEach(Connection::close);
    }

    /**
     * Keeps the connections under the limit on sockets: at the limit each answer is the last of its
     * connection, and none is accepted until one closes. Guards against running out of descriptors, which
     * would end the agent, and against closing a connection unannounced: its next request may be on the way.
     */
    private void accept() {
        server.config().setAutoRead(connections.size() < connectionsMost);
    }

    /** At the limit, those that their client has left alone for long must not keep others out. */
    private void closeLeftAlone() {
        long since = System.nanoTime() - LEFT_ALONE_NANOS;
        if (connections.size() >= connectionsMost) {
            connections.stream().filter(each -> each.current == null && each.idleSince - since < 0).toList()
                .forEach(Connection::close);
        }
    }

    /** One request and the answer it is owed. */
    final class Exchange {
        private final Connection connection;
        private final boolean keepAlive;
        private boolean answered;

        Exchange(Connection connection, boolean keepAlive) {
            this.connection = connection;
            this.keepAlive = keepAlive;
        }

        /** Gives the final answer; a second one, or one to a client that has left, is dropped. */
        void answer(HttpResponseStatus status, ByteBuf body, String contentType, long retryAfterMicros) {
            if (answered || connection.current != this) {
                body.release();
                return;
            }
            answered = true;
            var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            HttpHeaders headers = response.headers();
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (contentType != null) {
                headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
            }
            if (retryAfterMicros > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterMicros / 1e6));
            }
            boolean last = !keepAlive || draining || connections.size() >= connectionsMost;
            if (last) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            var written = connection.channel.writeAndFlush(response);
            if (last) {
                connection.closing = true;
                written.addListener(ChannelFutureListener.CLOSE);
            }
            connection.next();
        }

        void answer(HttpResponseStatus status) {
            answer(status, Unpooled.EMPTY_BUFFER, null, 0);
        }
    }

    /** One connection of the application's. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Channel channel;
        private final Deque<FullHttpRequest> ahead = new ArrayDeque<>();
        /** The exchange that is owed an answer, or null. */
        private Exchange current;
        private long idleSince = System.nanoTime();
        private boolean closing;

        Connection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            accept();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            accept();
            closing = true;
            ahead.forEach(FullHttpRequest::release);
            ahead.clear();
            Exchange left = current;
            current = null;
            if (left != null) {
                listener.clientLeft(left);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // its connection broke; what it was owed is told by channelInactive
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (closing) {
                return;
            }
            if (current != null) {
                ahead.add(request.retain());
                channel.config().setAutoRead(ahead.size() < AHEAD_MOST);
                return;
            }
            take(request);
        }

        /** Closes it once what it was sent is written. */
        private void close() {
            closing = true;
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        /** After an answer: the connection is in no use, or what was asked in advance is next. */
        private void next() {
            current = null;
            idleSince = System.nanoTime();
            FullHttpRequest request = closing ? null : ahead.poll();
            if (request != null) {
                channel.config().setAutoRead(true);
                channel.eventLoop().execute(() -> {
                    if (!closing) {
                        take(request);
                    }
                    request.release();
                });
            }
        }

        private void take(FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                current = new Exchange(this, false);
                current.answer(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            current = new Exchange(this, HttpUtil.isKeepAlive(request));
            Exchange exchange = current;
            try {
                if (request.uri().equals("/healthz") && !request.headers().contains("Request-Id")) {
                    exchange.answer(ready.getAsBoolean() && !draining
                        ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
                    return;
                }
                Incoming incoming = parse(request);
                if (incoming == null) {
                    exchange.answer(HttpResponseStatus.BAD_REQUEST);
                } else {
                    listener.request(incoming, exchange);
                }
            } catch (RuntimeException e) {
                // Guards against a fault here that would leave the client without its answer.
                Agent.say("request failed: " + e);
                exchange.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        }
    }

    /** The request as the agent takes it, or null if it lacks what it must say. */
    private Incoming parse(FullHttpRequest request) {
        HttpHeaders headers = request.headers();
        String[] path = request.uri().split("[/?]", 3);
        String named = headers.get("Request-Class", path.length > 1 ? path[1] : "");
        int requestClass = config.classes().indexOf(named);
        long timeout = number(headers.get(Backends.REQUEST_TIMEOUT));
        if (requestClass < 0 || timeout <= 0 || headers.get("Request-Id", "").isEmpty()) {
            return null;
        }
        boolean keyed = config.settings().classes().get(requestClass).semantics() == Balancer.Semantics.KEYED;
        if (keyed && headers.get("Idempotency-Key", "").isEmpty()) {
            return null; // Guards against an effect twice: without its key no server would drop a repeat.
        }
        HttpHeaders forwarded = new DefaultHttpHeaders().set(headers);
        for (String option : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
            List.of(option.split(",")).forEach(each -> forwarded.remove(each.trim()));
        }
        NOT_FORWARDED.forEach(forwarded::remove);
        String key = headers.get("Affinity-Key", "");
        return new Incoming(requestClass, Math.max(0, config.tenants().indexOf(headers.get("Tenant", ""))),
            key.isEmpty() ? 0 : Discovery.id(key), Math.max(0, number(headers.get("Work-Hint"))),
            Math.min(timeout, TIMEOUT_MS_MAX), "1".equals(headers.get("Client-Retry")),
            new Outgoing(request.method(), request.uri(), forwarded, request.content().retain()));
    }

    /** A whole number, or -1 if it is none. */
    private static long number(String text) {
        try {
            return text == null ? -1 : Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
