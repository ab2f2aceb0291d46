package gatefront.rehearsal;

import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import gatefront.rehearsal.net.Machine;
import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.world.Demand;
import gatefront.rehearsal.world.RandomStream;
import gatefront.rehearsal.world.RetryBehavior;
import gatefront.thrift.codec.MessageDecoder;
import gatefront.thrift.codec.MessageEncoder;
import gatefront.thrift.codec.MessageHeader;
import gatefront.thrift.codec.MessageLimits;
import gatefront.thrift.codec.ThriftMessage;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The clients of one agent. Each makes one try at a time, and each connection carries one request at a time;
 * connections are kept and more are opened when all are busy.
 */
final class ClientStandIn {
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final String BODY = "{\"importe\":123.45}";
    /** Time that a response sent before the deadline may be in transit, in microseconds. */
    private static final long IN_TRANSIT_MICROS = 50_000;
    /** The clients of an agent hold at most the agent's sockets divided by this. */
    private static final int SOCKETS_DIVISOR = 3;

    private final RunContext context;
    private final int agent;
    private final Machine machine;
    private final Bootstrap bootstrap;
    private final RetryBehavior retryBehavior;
    /** Idle connections, last used last; each removes itself when it closes. */
    private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();

    private int openConnections;

    /** Share of the class's aim for which a client in a hurry waits for one try. */
    private static final double HURRIED_AIM_SHARE = 0.25;

    private final RandomStream hurryRandom;

    /** An operation and the state of its tries. */
    private final class PendingOperation {
        final Demand.Operation operation;
        final Plan.RequestClass requestClass;
        final long giveUpMicros;
        final String idempotencyKey;
        int tries;
        long firstSentMicros = -1;

        /** Time for which the client waits for the response to one try, in microseconds. */
        final long tryTimeoutMicros;

        PendingOperation(Demand.Operation operation) {
            this.operation = operation;
            this.requestClass = context.plan.classes().get(operation.requestClass());
            this.tryTimeoutMicros = (long)
                    (inHurry(operation)
                            ? HURRIED_AIM_SHARE * 1000 * requestClass.targetMs()
                            : 1000 * requestClass.timeoutMs() * context.resolvedPlan.tryShare());
            this.giveUpMicros = operation.arrivalMicros() + (long) (1000 * requestClass.timeoutMs());
            this.idempotencyKey = "k" + operation.number();
        }
    }

    /** One try. */
    private final class RequestTry {
        final PendingOperation pending;
        final String requestId;
        final long deadlineMicros;
        final long startedMicros = context.now();
        boolean sent;
        boolean resent;
        boolean ended;
        /** Stall of the rehearsal by which the deadline has been extended, in microseconds. */
        long excusedMicros;

        ClientConnection connection;
        Future<?> timeoutTimer;

        RequestTry(PendingOperation pending, long deadlineMicros) {
            this.pending = pending;
            this.deadlineMicros = deadlineMicros;
            this.requestId = Long.toHexString(context.seed) + "-" + pending.operation.number() + "-" + pending.tries;
        }
    }

    ClientStandIn(RunContext context, int agent, Machine machine, InetSocketAddress agentAddress) {
        this.context = context;
        this.agent = agent;
        this.machine = machine;
        Plan.Clients clients = context.plan.clients();
        this.retryBehavior = new RetryBehavior(
                clients.retries(),
                1000 * clients.backoffMs(),
                clients.retryAfterCompliance(),
                context.random("callers " + agent));
        this.hurryRandom = context.random("hurry " + agent);
        this.bootstrap = new Bootstrap()
                .group(machine.transport().loop())
                .channelFactory(machine.transport().clientChannels())
                .remoteAddress(agentAddress)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 3_000)
                .option(ChannelOption.TCP_NODELAY, true)
                // Addresses are literal; the default resolver group would keep a reference to the event loop.
                .disableResolver();
    }

    /** Starts an operation. */
    void start(Demand.Operation operation) {
        context.recorder.operationStarted(operation);
        startTry(new PendingOperation(operation));
    }

    /** Whether a fault makes this client hurry. */
    private boolean inHurry(Demand.Operation operation) {
        boolean inHurry = false;
        for (ResolvedPlan.ScheduledFault scheduled : context.resolvedPlan.faults()) {
            long sinceMicros = operation.arrivalMicros() - context.recorder.openingMicros() - scheduled.startMicros();
            if (scheduled.fault().kind() == Fault.Kind.HURRY
                    && sinceMicros >= 0
                    && sinceMicros < scheduled.durationMicros()) {
                inHurry |= hurryRandom.nextDouble() < scheduled.size();
            }
        }
        return inHurry;
    }

    private void startTry(PendingOperation pending) {
        long now = context.now();
        pending.tries++;
        RequestTry requestTry = new RequestTry(pending, Math.min(now + pending.tryTimeoutMicros, pending.giveUpMicros));
        context.operations.put(requestTry.requestId, pending.operation);
        context.recorder.tryStarted(now);
        requestTry.timeoutTimer = machine.transport()
                .loop()
                .schedule(
                        () -> deadlinePassed(requestTry),
                        requestTry.deadlineMicros
                                - now
                                + (long) (1000 * context.plan.rules().answerSlackMs())
                                + IN_TRANSIT_MICROS
                                + context.slackMicros,
                        TimeUnit.MICROSECONDS);
        assignConnection(requestTry);
    }

    private void assignConnection(RequestTry requestTry) {
        if (context.now()
                >= requestTry.deadlineMicros) { // resent after a crossed close, and the client no longer waits
            endTry(requestTry, RetryBehavior.TryOutcome.TIMED_OUT, 0);
            return;
        }
        ClientConnection idle = idleConnections.pollLast();
        if (idle != null) {
            idle.send(requestTry);
            return;
        }
        if (openConnections >= context.plan.agents().maxSockets() / SOCKETS_DIVISOR) {
            endTry(requestTry, RetryBehavior.TryOutcome.UNREACHABLE, 0);
            return;
        }
        openConnections++;
        ClientConnection connection =
                context.thriftFormat == null ? new HttpClientConnection() : new ThriftClientConnection();
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        connection.channel = ch;
                        ch.pipeline().addLast(connection.codec()).addLast(connection);
                    }
                })
                .connect();
        connecting.channel().closeFuture().addListener(closed -> openConnections--);
        requestTry.connection = connection;
        connecting.addListener(done -> {
            if (requestTry.ended) {
                connection.channel.close();
            } else if (done.isSuccess() && context.now() < requestTry.deadlineMicros) {
                connection.send(requestTry);
            } else if (done.isSuccess()) {
                // Guards against blaming an agent that gets a request after the client has given up waiting for it.
                connection.channel.close();
                endTry(requestTry, RetryBehavior.TryOutcome.TIMED_OUT, 0);
            } else {
                endTry(requestTry, RetryBehavior.TryOutcome.UNREACHABLE, 0);
            }
        });
    }

    /** Ends a try whose response is overdue. */
    private void deadlinePassed(RequestTry requestTry) {
        long stallMicros = context.paths.maxStallMicros(requestTry.deadlineMicros, context.now());
        if (!requestTry.ended && stallMicros > requestTry.excusedMicros) {
            // The rehearsal itself stalled, so a response that has arrived meanwhile may not have been read.
            long extraMicros = stallMicros - requestTry.excusedMicros;
            requestTry.excusedMicros = stallMicros;
            requestTry.timeoutTimer = machine.transport()
                    .loop()
                    .schedule(() -> deadlinePassed(requestTry), extraMicros, TimeUnit.MICROSECONDS);
            return;
        }
        if (!requestTry.ended) {
            if (requestTry.sent) {
                if (!context.paths.reachableThroughout(agent, requestTry.startedMicros, context.now())) {
                    context.checker.released(context.now(), requestTry.requestId, "its agent was stopped or cut off");
                } else if (context.agents.get(agent).aliveSince(requestTry.startedMicros)) {
                    context.checker.timedOut(context.now(), requestTry.requestId);
                } else {
                    context.checker.released(context.now(), requestTry.requestId, "its agent was killed or cut off");
                }
            }
            if (requestTry.connection != null && requestTry.connection.channel != null) {
                requestTry.connection.currentTry = null;
                requestTry.connection.channel.close();
                context.checker.clientLeft(context.now(), requestTry.requestId);
            }
            endTry(requestTry, RetryBehavior.TryOutcome.TIMED_OUT, 0);
        }
    }

    private void endTry(RequestTry requestTry, RetryBehavior.TryOutcome outcome, long retryAfterMicros) {
        if (requestTry.ended) {
            return;
        }
        requestTry.ended = true;
        requestTry.timeoutTimer.cancel(false);
        long now = context.now();
        PendingOperation pending = requestTry.pending;
        // Attempts of this try may still run and need its operation to know their work.
        context.schedule(now + 60_000_000, () -> context.operations.remove(requestTry.requestId));
        Plan.RequestClass requestClass = pending.requestClass;
        RetryBehavior.RetrySafety safety = requestClass.semantics() == Semantics.SAFE
                ? RetryBehavior.RetrySafety.SAFE
                : requestClass.semantics() == Semantics.KEYED && requestClass.scope() == Scope.ALL
                        ? RetryBehavior.RetrySafety.KEYED_ALL_NODOS
                        : RetryBehavior.RetrySafety.ONLY_IF_NOT_RUN;
        long windowEndMicros = pending.firstSentMicros < 0
                ? pending.giveUpMicros
                : pending.firstSentMicros + (long) (1000 * requestClass.windowMs() / 2);
        long nextTryMicros = retryBehavior.nextTryMicros(
                now, pending.tries, outcome, safety, windowEndMicros, pending.giveUpMicros, retryAfterMicros);
        if (nextTryMicros == RetryBehavior.NEVER) {
            context.recorder.operationSettled(pending.operation, now, outcome);
        } else {
            machine.transport().loop().schedule(() -> startTry(pending), nextTryMicros - now, TimeUnit.MICROSECONDS);
        }
    }

    /** A connection to the agent, independent of the protocol. */
    private abstract class ClientConnection extends SimpleChannelInboundHandler<Object> {
        Channel channel;
        private RequestTry currentTry;
        private boolean reused;

        /** Returns the codec handlers of the pipeline. */
        abstract ChannelHandler[] codec();

        /** Returns the message to write for a try. */
        abstract Object request(RequestTry requestTry);

        void send(RequestTry requestTry) {
            currentTry = requestTry;
            requestTry.connection = this;
            PendingOperation pending = requestTry.pending;
            channel.writeAndFlush(request(requestTry)).addListener(done -> {
                if (done.isSuccess() && !requestTry.ended) {
                    requestTry.sent = true;
                    pending.firstSentMicros = pending.firstSentMicros < 0 ? context.now() : pending.firstSentMicros;
                    context.checker.requestSent(
                            context.now(),
                            requestTry.requestId,
                            pending.operation.requestClass(),
                            agent,
                            requestTry.deadlineMicros);
                } // else channelInactive ends the try
            });
        }

        /** Returns the try that waits for a response on this connection, or null. */
        final RequestTry currentTry() {
            return currentTry;
        }

        /**
         * Handles a complete response: its HTTP status, body, whether the connection stays open, and the advised
         * wait.
         */
        final void responseReceived(int status, String body, boolean keepAlive, long retryAfterMicros) {
            RequestTry requestTry = currentTry;
            currentTry = null;
            long sentMicros = context.toRunMicros(machine.sentAtNanos(channel));
            if (sentMicros > requestTry.deadlineMicros
                    && !context.paths.reachableThroughout(agent, requestTry.startedMicros, sentMicros)) {
                context.checker.released(sentMicros, requestTry.requestId, "its agent was stopped or cut off");
            } else {
                context.checker.responseReceived(sentMicros, requestTry.requestId, status, status == 200 ? body : null);
            }
            if (keepAlive) {
                reused = true;
                idleConnections.addLast(this);
            } else {
                channel.close();
            }
            if (status == 200) {
                context.paths.requestServed(sentMicros, agent);
            }
            RetryBehavior.TryOutcome outcome = status == 200
                    ? RetryBehavior.TryOutcome.SERVED
                    : status == 429 || status == 503
                            ? RetryBehavior.TryOutcome.REFUSED
                            : RetryBehavior.TryOutcome.FAILED;
            if (outcome == RetryBehavior.TryOutcome.REFUSED) {
                context.recorder.fleetLoad.requestRefused(context.idleShare());
            }
            endTry(requestTry, outcome, Math.min(retryAfterMicros, (long)
                    (1000 * context.plan.clients().retryAfterMs())));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            RequestTry requestTry = currentTry;
            currentTry = null;
            if (requestTry == null || requestTry.ended) {
                return;
            }
            AgentStandIn agentStandIn = context.agents.get(agent);
            boolean alive = agentStandIn.aliveSince(requestTry.startedMicros)
                    && context.paths.reachableThroughout(agent, requestTry.startedMicros, context.now());
            if (requestTry.sent && !alive) {
                context.checker.released(context.now(), requestTry.requestId, "its agent was killed");
            }
            boolean neverForwarded =
                    !requestTry.sent || alive && context.checker.connectionClosed(context.now(), requestTry.requestId);
            if (neverForwarded && reused && !requestTry.resent) {
                requestTry.resent = true;
                requestTry.sent = false;
                assignConnection(requestTry);
            } else {
                endTry(requestTry, RetryBehavior.TryOutcome.UNREACHABLE, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** An HTTP/1.1 connection. */
    private final class HttpClientConnection extends ClientConnection {
        @Override
        ChannelHandler[] codec() {
            return new ChannelHandler[] {new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES)};
        }

        @Override
        Object request(RequestTry requestTry) {
            PendingOperation pending = requestTry.pending;
            Demand.Operation operation = pending.operation;
            boolean safe = pending.requestClass.semantics() == Semantics.SAFE;
            var request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/" + pending.requestClass.name() + "?n=" + operation.number(),
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.copiedBuffer(BODY, StandardCharsets.US_ASCII));
            HttpHeaders headers = request.headers();
            headers.set(HttpHeaderNames.HOST, "origin.svc")
                    .set("Request-Id", requestTry.requestId)
                    .set("Request-Class", pending.requestClass.name())
                    .set("Work-Hint", operation.hintMicros())
                    .set("Request-Timeout-Ms", millisLeft(requestTry));
            if (!context.plan.tenants().isEmpty()) {
                headers.set("Tenant", tenant(operation));
            }
            if (marksRetry(pending)) {
                headers.set("Client-Retry", "1");
            }
            if (!safe) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, BODY.length());
            }
            if (pending.requestClass.semantics() == Semantics.KEYED) {
                headers.set("Idempotency-Key", pending.idempotencyKey);
            }
            return request;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object read) {
            if (currentTry() == null) {
                ctx.close();
                return;
            }
            FullHttpResponse response = (FullHttpResponse) read;
            responseReceived(
                    response.status().code(),
                    response.content().toString(StandardCharsets.US_ASCII),
                    HttpUtil.isKeepAlive(response),
                    retryAfter(response));
        }

        private long retryAfter(FullHttpResponse response) {
            String text = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            try {
                return text == null ? 0 : (long) (1e6 * Double.parseDouble(text));
            } catch (NumberFormatException e) {
                return 0; // a date, which no agent sends
            }
        }
    }

    /** A Thrift connection. */
    private final class ThriftClientConnection extends ClientConnection {
        private int seqid;

        @Override
        ChannelHandler[] codec() {
            return new ChannelHandler[] {new MessageDecoder(MessageLimits.DEFAULT)};
        }

        @Override
        Object request(RequestTry requestTry) {
            PendingOperation pending = requestTry.pending;
            byte[] arguments = ThriftPayloads.encodeCall(
                    context.thriftFormat.encoding(),
                    requestTry.requestId,
                    millisLeft(requestTry),
                    context.plan.tenants().isEmpty() ? null : tenant(pending.operation),
                    pending.operation.hintMicros(),
                    marksRetry(pending),
                    pending.requestClass.semantics() == Semantics.KEYED ? pending.idempotencyKey : null,
                    BODY);
            ByteBuf out = Unpooled.buffer(arguments.length + 64);
            MessageHeader header = new MessageHeader(pending.requestClass.name(), MessageHeader.Type.CALL, ++seqid);
            MessageEncoder.write(
                    new ThriftMessage(context.thriftFormat.encoding(), header, arguments),
                    context.thriftFormat.framed(),
                    out);
            return out;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object read) {
            if (currentTry() == null
                    || !(read instanceof ThriftMessage reply)
                    || reply.header().seqid() != seqid) {
                ctx.close();
                return;
            }
            ThriftPayloads.ReplyFields fields = ThriftPayloads.readReply(reply);
            boolean served = reply.header().type() == MessageHeader.Type.REPLY && fields.success() != null;
            responseReceived(
                    served ? 200 : fields.refused() ? 503 : 502, fields.success(), true, fields.retryAfterMicros());
        }
    }

    private long millisLeft(RequestTry requestTry) {
        return Math.max(1, (requestTry.deadlineMicros - context.now()) / 1000);
    }

    private String tenant(Demand.Operation operation) {
        return context.plan.tenants().get(operation.tenant()).name();
    }

    private boolean marksRetry(PendingOperation pending) {
        return pending.tries > 1 && context.plan.clients().marksRetry();
    }
}
