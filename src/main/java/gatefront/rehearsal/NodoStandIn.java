package gatefront.rehearsal;

import gatefront.policy.Balancer.Semantics;
import gatefront.rehearsal.check.RuleChecker.Ending;
import gatefront.rehearsal.net.Machine;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.world.Demand;
import gatefront.rehearsal.world.IdempotencyWindow;
import gatefront.rehearsal.world.NodoModel;
import gatefront.rehearsal.world.RandomStream;
import gatefront.thrift.codec.MessageDecoder;
import gatefront.thrift.codec.MessageEncoder;
import gatefront.thrift.codec.MessageHeader;
import gatefront.thrift.codec.MessageLimits;
import gatefront.thrift.codec.ThriftMessage;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A nodo de cuentas over HTTP/1.1 or Thrift. The model decides what happens to each request; this class does the I/O.
 */
final class NodoStandIn {
    static final int PORT = 3000;
    static final int THRIFT_PORT = 3001;
    /** Work of detecting a duplicate whose effect has been applied already, in microseconds on a core of speed 1. */
    private static final double DUPLICATE_WORK_MICROS = 1_000;

    private static final int BODY_PADDING = 300;

    private final RunContext context;
    private final int number;
    private final ResolvedPlan.Nodo spec;
    private final Machine machine;
    private final RandomStream random;
    /** Jobs in progress or queued: added on arrival, removed when the model completes them or the process ends. */
    private final Map<Long, Job> jobs = new LinkedHashMap<>();

    private NodoModel model;
    private long startedMicros;
    private long nextJob;
    private int connections;
    private Future<?> wakeTimer;
    private long wakeMicros = Long.MAX_VALUE;
    private double breakOffShare;
    private double slowdown = 1;
    private double stolenShare;
    private double failureShare;
    private boolean crashReported;
    private boolean departed;
    private boolean draining;
    private String loadReport = "";
    private long reportMicros = Long.MIN_VALUE / 2;
    /** Connections with a partially received request; removed when the rest arrives or the connection closes. */
    private final Set<ServerConnection> partialRequests = new LinkedHashSet<>();
    /** Idle connections by the time since when, longest idle first; removed on the next request or when they close. */
    private final Map<ServerConnection, Long> idleConnections = new LinkedHashMap<>();

    private Future<?> idleTimer;

    /** A completely received request. */
    private static final class Job {
        final String requestId;
        final int attempt;
        final IdempotencyWindow.Entry idempotencyEntry;
        ServerConnection connection;

        Job(String requestId, int attempt, IdempotencyWindow.Entry idempotencyEntry, ServerConnection connection) {
            this.requestId = requestId;
            this.attempt = attempt;
            this.idempotencyEntry = idempotencyEntry;
            this.connection = connection;
        }
    }

    NodoStandIn(RunContext context, int number, ResolvedPlan.Nodo spec, Machine machine) {
        this.context = context;
        this.number = number;
        this.spec = spec;
        this.machine = machine;
        this.random = context.random("nodo " + number);
    }

    int number() {
        return number;
    }

    String name() {
        return "nodo-" + (number + 1);
    }

    ResolvedPlan.Nodo spec() {
        return spec;
    }

    Machine machine() {
        return machine;
    }

    String address() {
        InetSocketAddress address = machine.address(PORT);
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private long sentMicros(Channel channel, String requestId) {
        long sentMicros = context.toRunMicros(machine.sentAtNanos(channel));
        Demand.Operation operation = context.operations.get(requestId);
        return operation == null
                ? sentMicros
                : Math.min(sentMicros, context.paths.earliestSendMicros(operation.agent(), context.now()));
    }

    boolean up() {
        return model != null && !model.crashed();
    }

    /** Whether the nodo has been told to drain, or will be in a moment. */
    void draining(boolean drains) {
        draining = drains;
    }

    boolean draining() {
        return draining;
    }

    /** Records the work that the nodo was sent while cold. */
    void recordColdWork(FleetLoad fleetLoad) {
        if (model != null) {
            fleetLoad.coldNodoObserved(number, model.coldWork(), model.coldCapacity());
        }
    }

    /** Marks the nodo as gone for good, so that no fault starts it again. */
    void depart() {
        departed = true;
    }

    boolean departed() {
        return departed;
    }

    int heldRequests() {
        return model == null ? 0 : model.heldRequests();
    }

    /** Returns the current capacity, in cores of speed 1. */
    double capacity() {
        return up() ? model.capacity(context.now()) : 0;
    }

    /** Starts the process, which runs until {@link #kill()}. */
    void start(boolean startsCold) {
        startedMicros = context.now();
        model = new NodoModel(spec.machine(), random, startedMicros, startsCold);
        model.setLimit(startedMicros, spec.limit());
        model.setSlowdown(startedMicros, slowdown);
        model.setStolenShare(startedMicros, stolenShare);
        model.setFailureShare(failureShare);
        crashReported = false;
        context.reportBindFailure(
                new ServerBootstrap()
                        .group(machine.transport().loop())
                        .channelFactory(machine.transport().serverChannels())
                        .childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                if (context.thriftFormat == null) {
                                    ch.pipeline().addLast(new HttpServerCodec(), new HttpServerConnection());
                                } else {
                                    ch.pipeline()
                                            .addLast(
                                                    new MessageDecoder(MessageLimits.DEFAULT),
                                                    new ThriftServerConnection());
                                }
                            }
                        })
                        .bind(machine.address(context.thriftFormat == null ? PORT : THRIFT_PORT)),
                name());
    }

    /** Kills the process. */
    void kill() {
        machine.kill();
        long now = context.now();
        jobs.values()
                .forEach(interrupted ->
                        context.checker.attemptEnded(now, interrupted.requestId, interrupted.attempt, Ending.LOST));
        jobs.clear();
        partialRequests.forEach(interrupted ->
                context.checker.attemptEnded(now, interrupted.requestId, interrupted.attempt, Ending.LOST));
        partialRequests.clear();
        idleConnections.clear();
        idleTimer = null;
        model = null;
        connections = 0;
        wakeMicros = Long.MAX_VALUE;
    }

    void setSlowdown(double factor) {
        slowdown = factor;
        if (model != null) {
            model.setSlowdown(context.now(), factor);
            scheduleWake();
        }
    }

    void setStolenShare(double share) {
        stolenShare = share;
        if (model != null) {
            model.setStolenShare(context.now(), share);
            scheduleWake();
        }
    }

    void setFailureShare(double share) {
        failureShare = share;
        if (model != null) {
            model.setFailureShare(share);
        }
    }

    void setBreakOffShare(double share) {
        breakOffShare = share;
    }

    // ---- Idle connections ----

    private void markIdle(ServerConnection connection) {
        idleConnections.remove(connection);
        idleConnections.put(connection, context.now());
        if (idleTimer == null) {
            scheduleIdleCheck();
        }
    }

    private void scheduleIdleCheck() {
        long delayMicros = idleConnections.values().iterator().next() + idleMicros() - context.now();
        idleTimer =
                machine.transport().loop().schedule(this::closeIdle, Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
    }

    private void closeIdle() {
        idleTimer = null;
        long idleBefore = context.now() - idleMicros();
        for (Map.Entry<ServerConnection, Long> idle : List.copyOf(idleConnections.entrySet())) {
            if (idle.getValue() > idleBefore) {
                break;
            }
            idleConnections.remove(idle.getKey());
            context.recorder.idleConnectionClosed();
            idle.getKey().ctx.close();
        }
        if (!idleConnections.isEmpty()) {
            scheduleIdleCheck();
        }
    }

    private long idleMicros() {
        return (long) (1e6 * context.plan.nodos().idleTimeoutSeconds());
    }

    // ---- Jobs ----

    /** Advances the model to the current time, answers completed jobs and schedules the next wake-up. */
    private void advance() {
        wakeMicros = Long.MAX_VALUE;
        if (model != null) {
            finishJobs(model.advance(context.now()));
            scheduleWake();
        }
    }

    private void finishJobs(List<NodoModel.Completion> completions) {
        for (NodoModel.Completion completion : completions) {
            Job job = jobs.remove(completion.job());
            if (job != null) {
                finishJob(job);
            }
        }
    }

    private void scheduleWake() {
        long nextMicros = model.nextEventMicros();
        if (nextMicros < wakeMicros) {
            if (wakeTimer != null) {
                wakeTimer.cancel(false);
            }
            wakeMicros = nextMicros;
            wakeTimer = machine.transport()
                    .loop()
                    .schedule(this::advance, Math.max(0, nextMicros - context.now()), TimeUnit.MICROSECONDS);
        }
    }

    private void finishJob(Job job) {
        if (job.idempotencyEntry == null || job.idempotencyEntry.markApplied()) {
            context.checker.effectApplied(context.now(), job.requestId, number);
        }
        if (job.connection != null) {
            job.connection.respond(job);
        }
    }

    private void crash() {
        crashReported = true;
        if (model.statedLimitExceeded()) {
            context.checker.coldNodoOverloaded(context.now(), number, startedMicros, model.coldWorkByAgent());
        }
        context.recorder.addNote(
                context.now(),
                name() + " fell over while cold"
                        + (model.statedLimitExceeded()
                                ? ""
                                : ", sent no more than a cold nodo with nothing else wrong can take"));
        context.schedule(0, this::kill); // not from within one of its own connections
    }

    /** Returns the current load report, which is renewed periodically and contains some noise. */
    private String loadReport() {
        if (context.now() - reportMicros >= context.resolvedPlan.loadReportMicros()) {
            reportMicros = context.now();
            double noise = context.plan.nodos().noise();
            loadReport = "inflight=" + Math.round(model.heldRequests() * random.uniform(1 - noise, 1 + noise))
                    + ",queue=" + Math.round(model.queuedRequests() * random.uniform(1 - noise, 1 + noise));
        }
        return loadReport;
    }

    /** A connection, independent of the protocol. */
    private abstract class ServerConnection extends SimpleChannelInboundHandler<Object> {
        /** The process that the connection belongs to. */
        final NodoModel process = model;

        ChannelHandlerContext ctx;
        private String requestId;
        private int attempt = -1;
        private Job job;
        private long openedMicros;
        private int requestCount;

        /** Sends a served response. */
        abstract void respond(String body);

        /** Sends half of a response or nothing, before the connection is reset. */
        abstract void sendBroken(String body, boolean partial);

        /** Sends an immediate failure. */
        abstract void sendFailure();

        /** Sends a refusal that says the request was not started. */
        abstract void sendRefusal();

        /** Sends a response to a request that is unknown to the rehearsal. */
        abstract void sendBadRequest();

        @Override
        public void channelActive(ChannelHandlerContext handlerContext) {
            ctx = handlerContext;
            openedMicros = context.now();
            if (process != model || ++connections > context.plan.nodos().maxConnections()) {
                ctx.close();
            } else {
                advance();
                model.addOverhead(context.now(), context.resolvedPlan.connectionWorkMicros());
                context.recorder.handshake(context.now(), connections);
                scheduleWake();
                markIdle(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext handlerContext) {
            if (process != model) {
                return; // the process was killed, and its connections with it
            }
            connections--;
            partialRequests.remove(this);
            idleConnections.remove(this);
            if (requestId != null) {
                context.checker.attemptEnded(
                        sentMicros(handlerContext.channel(), requestId), requestId, attempt, Ending.ABANDONED);
                requestId = null;
            }
            if (job != null) {
                job.connection = null; // the job runs on: it cannot be cancelled
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
            handlerContext.close();
        }

        /** Called when the first bytes of a request or probe have arrived. */
        final void markBusy() {
            idleConnections.remove(this);
        }

        /** Called when the first bytes turn out to be a request's. */
        final void requestStarted(String startedId) {
            requestId = startedId;
            Demand.Operation operation = context.operations.get(requestId);
            attempt = context.checker.attemptStarted(
                    sentMicros(ctx.channel(), requestId),
                    requestId,
                    number,
                    spec.zone(),
                    spec.cell(),
                    operation == null ? -1 : operation.agent());
            context.recorder.attemptStarted(context.now());
            if (operation != null) {
                context.paths.attemptStarted(sentMicros(ctx.channel(), requestId), operation.agent(), number);
            }
            if (++requestCount == 1 && operation != null) {
                context.recorder.fleetLoad.connectionUsed(openedMicros, operation.agent(), number);
            } else if (requestCount == 2) {
                context.recorder.fleetLoad.connectionReused();
            }
            partialRequests.add(this);
        }

        /** Called when a probe has arrived; its response is written next. */
        final void probeReceived() {
            advance();
            model.addOverhead(context.now(), context.resolvedPlan.probeWorkMicros());
            context.recorder.probe(context.now());
            scheduleWake();
        }

        /** Called when the request has arrived completely. */
        final void requestReceived(String className, String key) {
            partialRequests.remove(this);
            advance();
            context.checker.attemptReceived(sentMicros(ctx.channel(), requestId), requestId, attempt);
            submit(className, key);
        }

        private void submit(String className, String key) {
            Demand.Operation operation = context.operation(requestId, className);
            Plan.RequestClass requestClass =
                    operation == null ? null : context.plan.classes().get(operation.requestClass());
            if (operation == null) {
                sendBadRequest();
                endAttempt(Ending.TURNED_AWAY);
                return;
            }
            IdempotencyWindow.Entry idempotencyEntry = requestClass.semantics() == Semantics.KEYED
                    ? context.idempotencyWindow(operation.requestClass(), spec).register(context.now(), key)
                    : null;
            double work = idempotencyEntry != null && idempotencyEntry.applied()
                    ? DUPLICATE_WORK_MICROS
                    : operation.workMicros();
            long jobId = nextJob++;
            switch (model.arrive(context.now(), jobId, work, operation.agent())) {
                case ACCEPTED -> {
                    job = new Job(requestId, attempt, idempotencyEntry, this);
                    jobs.put(jobId, job);
                    scheduleWake();
                }
                case FAILED -> {
                    sendFailure();
                    endAttempt(Ending.ANSWERED);
                }
                case REFUSED -> {
                    sendRefusal();
                    endAttempt(Ending.TURNED_AWAY);
                }
            }
            if (model != null) {
                context.recorder.coldOverload(context.now(), model.overloadShare());
            }
            if (model != null && model.crashed() && !crashReported) {
                crash();
            }
        }

        private void endAttempt(Ending ending) {
            context.checker.attemptEnded(context.now(), requestId, attempt, ending);
            requestId = null;
            job = null;
        }

        private void respond(Job finished) {
            String body = name() + " " + finished.requestId + " " + finished.attempt + " " + "=".repeat(BODY_PADDING);
            if (breakOffShare > 0 && random.nextDouble() < breakOffShare) {
                sendBroken(body, random.nextDouble() < 0.5);
                ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                ctx.close();
                endAttempt(Ending.LOST);
                return;
            }
            context.recorder.requestServed(context.now(), number);
            context.checker.responseCreated(finished.requestId, body);
            respond(body);
            endAttempt(Ending.ANSWERED);
        }
    }

    /** An HTTP/1.1 connection. */
    private final class HttpServerConnection extends ServerConnection {
        private HttpRequest requestHead;
        private boolean isRequest;

        @Override
        protected void channelRead0(ChannelHandlerContext handlerContext, Object read) {
            HttpObject part = (HttpObject) read;
            if (part.decoderResult().isFailure() || process != model) {
                handlerContext.close();
                return;
            }
            if (part instanceof HttpRequest head) {
                requestHead = head;
                markBusy();
                String startedId = requestHead.headers().get("Request-Id");
                isRequest = startedId != null;
                if (isRequest) {
                    requestStarted(startedId);
                }
            }
            if (part instanceof LastHttpContent) {
                if (isRequest) {
                    requestReceived(
                            requestHead.headers().get("Request-Class"),
                            requestHead.headers().get("Idempotency-Key", ""));
                } else {
                    probe();
                }
            }
        }

        private void probe() {
            boolean loadRequested = requestHead.uri().equals("/load");
            if (!loadRequested && !requestHead.uri().equals("/healthz")) {
                answer(HttpResponseStatus.NOT_FOUND, "", null);
                return;
            }
            probeReceived();
            answer(HttpResponseStatus.OK, loadRequested ? loadReport() : "", loadReport());
        }

        @Override
        void respond(String body) {
            answer(HttpResponseStatus.OK, body, loadReport());
        }

        @Override
        void sendFailure() {
            answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "", loadReport());
        }

        @Override
        void sendRefusal() {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "", loadReport(), "Not-Started", "1");
        }

        @Override
        void sendBadRequest() {
            answer(HttpResponseStatus.BAD_REQUEST, "", null);
        }

        @Override
        void sendBroken(String body, boolean partial) {
            if (partial) {
                var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
                ctx.write(head);
                ctx.writeAndFlush(new DefaultHttpContent(
                        Unpooled.copiedBuffer(body.substring(0, body.length() / 2), StandardCharsets.US_ASCII)));
            }
        }

        private void answer(HttpResponseStatus status, String body, String report, String... extraHeaders) {
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            HttpHeaders headers = response.headers();
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length());
            if (report != null) {
                headers.set("Server-Load", report);
            }
            for (int i = 0; i < extraHeaders.length; i += 2) {
                headers.set(extraHeaders[i], extraHeaders[i + 1]);
            }
            ctx.writeAndFlush(response);
            markIdle(this);
        }
    }

    /** A Thrift connection. Nothing is known of a call before it has arrived completely. */
    private final class ThriftServerConnection extends ServerConnection {
        private ThriftMessage call;

        @Override
        protected void channelRead0(ChannelHandlerContext handlerContext, Object read) {
            if (!(read instanceof ThriftMessage message) || process != model) {
                handlerContext.close();
                return;
            }
            call = message;
            markBusy();
            if (message.header().name().equals(ThriftPayloads.HEALTH)) {
                probeReceived();
                answer(ThriftPayloads.health(message.encoding(), loadReport()));
                return;
            }
            ThriftPayloads.CallFields fields = ThriftPayloads.readCall(message);
            requestStarted(fields.requestId());
            requestReceived(message.header().name(), fields.key());
        }

        @Override
        void respond(String body) {
            answer(ThriftPayloads.success(call.encoding(), body, loadReport()));
        }

        @Override
        void sendFailure() {
            answer(ThriftPayloads.failed(call.encoding(), loadReport()));
        }

        @Override
        void sendRefusal() {
            answer(ThriftPayloads.refused(call.encoding(), loadReport()));
        }

        @Override
        void sendBadRequest() {
            answer(ThriftPayloads.failed(call.encoding(), loadReport()));
        }

        @Override
        void sendBroken(String body, boolean partial) {
            ByteBuf bytes = bytes(ThriftPayloads.success(call.encoding(), body, loadReport()));
            if (partial) {
                ctx.writeAndFlush(bytes.readSlice(bytes.readableBytes() / 2));
            }
        }

        private ByteBuf bytes(byte[] result) {
            ByteBuf buffer = Unpooled.buffer(result.length + BODY_PADDING);
            MessageEncoder.write(
                    new ThriftMessage(
                            call.encoding(),
                            new MessageHeader(
                                    call.header().name(),
                                    MessageHeader.Type.REPLY,
                                    call.header().seqid()),
                            result),
                    context.thriftFormat.framed(),
                    buffer);
            return buffer;
        }

        private void answer(byte[] result) {
            ctx.writeAndFlush(bytes(result));
            markIdle(this);
        }
    }
}
