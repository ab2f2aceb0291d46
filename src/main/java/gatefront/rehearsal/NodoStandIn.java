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

/** A nodo de cuentas over HTTP/1.1 or Thrift: the model decides how requests fare, this carries it out. */
final class NodoStandIn {
    static final int PORT = 3000;
    static final int THRIFT_PORT = 3001;
    /** The work of finding that a repeat has been done already. */
    private static final double REPEAT_WORK = 1_000;

    private static final int PADDING = 300;

    private final RunContext day;
    private final int number;
    private final ResolvedPlan.Nodo spec;
    private final Machine machine;
    private final RandomStream draw;
    /** In work or waiting: entered on arrival, removed when the model ends them or the process does. */
    private final Map<Long, Job> jobs = new LinkedHashMap<>();

    private NodoModel model;
    private long startedAt;
    private long nextJob;
    private int connections;
    private Future<?> wake;
    private long wakeAt = Long.MAX_VALUE;
    private double breakOff;
    private double slow = 1;
    private double taken;
    private double failing;
    private boolean fell;
    private boolean left;
    private boolean leaving;
    private String report = "";
    private long reportedAt = Long.MIN_VALUE / 2;
    /** Connections on which half a request has come; each leaves with the rest of it or its end. */
    private final Set<Serving> half = new LinkedHashSet<>();
    /** Connections in no use, the longest so first, and since when; each leaves with its next request or its end. */
    private final Map<Serving, Long> resting = new LinkedHashMap<>();

    private Future<?> idleWatch;

    /** A request that came whole. */
    private static final class Job {
        final String id;
        final int attempt;
        final IdempotencyWindow.Entry entry;
        Serving from;

        Job(String id, int attempt, IdempotencyWindow.Entry entry, Serving from) {
            this.id = id;
            this.attempt = attempt;
            this.entry = entry;
            this.from = from;
        }
    }

    NodoStandIn(RunContext day, int number, ResolvedPlan.Nodo spec, Machine machine) {
        this.day = day;
        this.number = number;
        this.spec = spec;
        this.machine = machine;
        this.draw = day.draw("nodo " + number);
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
        InetSocketAddress at = machine.at(PORT);
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    private long sentAt(Channel channel, String request) {
        long at = day.micros(machine.sentAt(channel));
        Demand.Want want = day.wants.get(request);
        return want == null ? at : Math.min(at, day.ways.sentAt(want.agent(), day.now()));
    }

    boolean up() {
        return model != null && !model.fallen();
    }

    /** It is told to take nothing new, or will be in a moment. */
    void leaving(boolean now) {
        leaving = now;
    }

    boolean leaving() {
        return leaving;
    }

    /** Tells what it was sent while cold. */
    void cold(FleetLoad crowd) {
        if (model != null) {
            crowd.cold(number, model.coldSent(), model.coldBorne());
        }
    }

    /** It has left for good: nothing brings it back. */
    void leaves() {
        left = true;
    }

    boolean hasLeft() {
        return left;
    }

    int held() {
        return model == null ? 0 : model.held();
    }

    /** What it can do now, in cores of speed 1. */
    double capacity() {
        return up() ? model.capacity(day.now()) : 0;
    }

    /** Starts its process, which runs until {@link #kill()}. */
    void start(boolean cold) {
        startedAt = day.now();
        model = new NodoModel(spec.machine(), draw, startedAt, cold);
        model.limit(startedAt, spec.limit());
        model.slow(startedAt, slow);
        model.taken(startedAt, taken);
        model.failing(failing);
        fell = false;
        day.listens(
                new ServerBootstrap()
                        .group(machine.transport().loop())
                        .channelFactory(machine.transport().serverChannels())
                        .childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                if (day.form == null) {
                                    ch.pipeline().addLast(new HttpServerCodec(), new HttpServing());
                                } else {
                                    ch.pipeline()
                                            .addLast(new MessageDecoder(MessageLimits.DEFAULT), new ThriftServing());
                                }
                            }
                        })
                        .bind(machine.at(day.form == null ? PORT : THRIFT_PORT)),
                name());
    }

    /** Its process ends outright. */
    void kill() {
        machine.kill();
        long now = day.now();
        jobs.values().forEach(each -> day.checker.ended(now, each.id, each.attempt, Ending.LOST));
        jobs.clear();
        half.forEach(each -> day.checker.ended(now, each.id, each.attempt, Ending.LOST));
        half.clear();
        resting.clear();
        idleWatch = null;
        model = null;
        connections = 0;
        wakeAt = Long.MAX_VALUE;
    }

    void slow(double factor) {
        slow = factor;
        if (model != null) {
            model.slow(day.now(), factor);
            next();
        }
    }

    void taken(double part) {
        taken = part;
        if (model != null) {
            model.taken(day.now(), part);
            next();
        }
    }

    void failing(double part) {
        failing = part;
        if (model != null) {
            model.failing(part);
        }
    }

    void breakOff(double part) {
        breakOff = part;
    }

    // ---- Connections in no use ----

    private void rests(Serving connection) {
        resting.remove(connection);
        resting.put(connection, day.now());
        if (idleWatch == null) {
            watchIdle();
        }
    }

    private void watchIdle() {
        long due = resting.values().iterator().next() + idleMicros() - day.now();
        idleWatch = machine.transport().loop().schedule(this::closeIdle, Math.max(0, due), TimeUnit.MICROSECONDS);
    }

    private void closeIdle() {
        idleWatch = null;
        long since = day.now() - idleMicros();
        for (Map.Entry<Serving, Long> each : List.copyOf(resting.entrySet())) {
            if (each.getValue() > since) {
                break;
            }
            resting.remove(each.getKey());
            day.record.closedIdle();
            each.getKey().ctx.close();
        }
        if (!resting.isEmpty()) {
            watchIdle();
        }
    }

    private long idleMicros() {
        return (long) (1e6 * day.plan.nodos().idleTimeoutSeconds());
    }

    // ---- Work ----

    /** Works on until now, gives what has ended its answers, and sets the time of the next end. */
    private void work() {
        wakeAt = Long.MAX_VALUE;
        if (model != null) {
            settle(model.advance(day.now()));
            next();
        }
    }

    private void settle(List<NodoModel.Ended> ended) {
        for (NodoModel.Ended each : ended) {
            Job job = jobs.remove(each.job());
            if (job != null) {
                finish(job);
            }
        }
    }

    private void next() {
        long at = model.next();
        if (at < wakeAt) {
            if (wake != null) {
                wake.cancel(false);
            }
            wakeAt = at;
            wake = machine.transport().loop().schedule(this::work, Math.max(0, at - day.now()), TimeUnit.MICROSECONDS);
        }
    }

    private void finish(Job job) {
        if (job.entry == null || job.entry.first()) {
            day.checker.effect(day.now(), job.id, number);
        }
        if (job.from != null) {
            job.from.serve(job);
        }
    }

    private void fall() {
        fell = true;
        if (model.overStated()) {
            day.checker.fell(day.now(), number, startedAt, model.coldWork());
        }
        day.record.note(
                day.now(),
                name() + " fell over while cold"
                        + (model.overStated()
                                ? ""
                                : ", sent no more than a cold nodo with nothing else wrong can take"));
        day.at(0, this::kill); // not from within one of its own connections
    }

    /** The load report in force; it is made anew now and then, and a little wrong. */
    private String report() {
        if (day.now() - reportedAt >= day.cast.reportMicros()) {
            reportedAt = day.now();
            double noise = day.plan.nodos().noise();
            report = "inflight=" + Math.round(model.held() * draw.between(1 - noise, 1 + noise)) + ",queue="
                    + Math.round(model.queued() * draw.between(1 - noise, 1 + noise));
        }
        return report;
    }

    /** One connection, whatever protocol it speaks. */
    private abstract class Serving extends SimpleChannelInboundHandler<Object> {
        /** The process that it belongs to. */
        final NodoModel process = model;

        ChannelHandlerContext ctx;
        private String id;
        private int attempt = -1;
        private Job job;
        private long openedAt;
        private int requests;

        /** An answer that a nodo has made. */
        abstract void serve(String body);

        /** Half of it and a reset, or the reset alone. */
        abstract void breaks(String body, boolean half);

        /** The nodo fails it at once. */
        abstract void fail();

        /** The nodo turns it away unseen. */
        abstract void turnAway();

        /** The nodo knows nothing of it. */
        abstract void reject();

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            openedAt = day.now();
            if (process != model || ++connections > day.plan.nodos().maxConnections()) {
                ctx.close();
            } else {
                work();
                model.charge(day.now(), day.cast.connectionMicros());
                day.record.handshake(day.now(), connections);
                next();
                rests(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (process != model) {
                return; // it has been killed, and all of this with it
            }
            connections--;
            half.remove(this);
            resting.remove(this);
            if (id != null) {
                day.checker.ended(sentAt(context.channel(), id), id, attempt, Ending.ABANDONED);
                id = null;
            }
            if (job != null) {
                job.from = null; // it runs on: nobody can take it back
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        /** The first of something has come. */
        final void inUse() {
            resting.remove(this);
        }

        /** It was that of a request. */
        final void begun(String request) {
            id = request;
            Demand.Want want = day.wants.get(id);
            attempt = day.checker.begun(
                    sentAt(ctx.channel(), id), id, number, spec.zone(), spec.cell(), want == null ? -1 : want.agent());
            day.record.attempt(day.now());
            if (want != null) {
                day.ways.begun(sentAt(ctx.channel(), id), want.agent(), number);
            }
            if (++requests == 1 && want != null) {
                day.record.crowd.dialled(openedAt, want.agent(), number);
            } else if (requests == 2) {
                day.record.crowd.usedAgain();
            }
            half.add(this);
        }

        /** A question for health has come; its answer is written next. */
        final void probed() {
            work();
            model.charge(day.now(), day.cast.probeMicros());
            day.record.probe(day.now());
            next();
        }

        /** The request has come whole. */
        final void whole(String kind, String key) {
            half.remove(this);
            work();
            day.checker.whole(sentAt(ctx.channel(), id), id, attempt);
            arrived(kind, key);
        }

        private void arrived(String kind, String key) {
            Demand.Want want = day.want(id, kind);
            Plan.RequestClass type = want == null ? null : day.plan.classes().get(want.kind());
            if (want == null) {
                reject();
                over(Ending.TURNED_AWAY);
                return;
            }
            IdempotencyWindow.Entry entry = type.semantics() == Semantics.KEYED
                    ? day.repeats(want.kind(), spec).arrive(day.now(), key)
                    : null;
            double work = entry != null && entry.happened() ? REPEAT_WORK : want.work();
            long mine = nextJob++;
            switch (model.arrive(day.now(), mine, work, want.agent())) {
                case TAKEN -> {
                    job = new Job(id, attempt, entry, this);
                    jobs.put(mine, job);
                    next();
                }
                case FAILS -> {
                    fail();
                    over(Ending.ANSWERED);
                }
                case TURNED_AWAY -> {
                    turnAway();
                    over(Ending.TURNED_AWAY);
                }
            }
            if (model != null) {
                day.record.pressed(day.now(), model.pressed());
            }
            if (model != null && model.fallen() && !fell) {
                fall();
            }
        }

        private void over(Ending how) {
            day.checker.ended(day.now(), id, attempt, how);
            id = null;
            job = null;
        }

        private void serve(Job done) {
            String body = name() + " " + done.id + " " + done.attempt + " " + "=".repeat(PADDING);
            if (breakOff > 0 && draw.unit() < breakOff) {
                breaks(body, draw.unit() < 0.5);
                ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
                ctx.close();
                over(Ending.LOST);
                return;
            }
            day.record.served(day.now(), number);
            day.checker.made(done.id, body);
            serve(body);
            over(Ending.ANSWERED);
        }
    }

    /** One over HTTP/1.1. */
    private final class HttpServing extends Serving {
        private HttpRequest head;
        private boolean request;

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object read) {
            HttpObject part = (HttpObject) read;
            if (part.decoderResult().isFailure() || process != model) {
                context.close();
                return;
            }
            if (part instanceof HttpRequest first) {
                head = first;
                inUse();
                String id = head.headers().get("Request-Id");
                request = id != null;
                if (request) {
                    begun(id);
                }
            }
            if (part instanceof LastHttpContent) {
                if (request) {
                    whole(head.headers().get("Request-Class"), head.headers().get("Idempotency-Key", ""));
                } else {
                    probe();
                }
            }
        }

        private void probe() {
            boolean load = head.uri().equals("/load");
            if (!load && !head.uri().equals("/healthz")) {
                answer(HttpResponseStatus.NOT_FOUND, "", null);
                return;
            }
            probed();
            answer(HttpResponseStatus.OK, load ? report() : "", report());
        }

        @Override
        void serve(String body) {
            answer(HttpResponseStatus.OK, body, report());
        }

        @Override
        void fail() {
            answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "", report());
        }

        @Override
        void turnAway() {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "", report(), "Not-Started", "1");
        }

        @Override
        void reject() {
            answer(HttpResponseStatus.BAD_REQUEST, "", null);
        }

        @Override
        void breaks(String body, boolean half) {
            if (half) {
                var begun = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                begun.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
                ctx.write(begun);
                ctx.writeAndFlush(new DefaultHttpContent(
                        Unpooled.copiedBuffer(body.substring(0, body.length() / 2), StandardCharsets.US_ASCII)));
            }
        }

        private void answer(HttpResponseStatus status, String body, String load, String... more) {
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
            HttpHeaders headers = response.headers();
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length());
            if (load != null) {
                headers.set("Server-Load", load);
            }
            for (int i = 0; i < more.length; i += 2) {
                headers.set(more[i], more[i + 1]);
            }
            ctx.writeAndFlush(response);
            rests(this);
        }
    }

    /** One over Thrift; nothing of a call is known before it is whole. */
    private final class ThriftServing extends Serving {
        private ThriftMessage call;

        @Override
        protected void channelRead0(ChannelHandlerContext context, Object read) {
            if (!(read instanceof ThriftMessage message) || process != model) {
                context.close();
                return;
            }
            call = message;
            inUse();
            if (message.header().name().equals(ThriftPayloads.HEALTH)) {
                probed();
                answer(ThriftPayloads.health(message.encoding(), report()));
                return;
            }
            ThriftPayloads.Said said = ThriftPayloads.said(message);
            begun(said.requestId());
            whole(message.header().name(), said.key());
        }

        @Override
        void serve(String body) {
            answer(ThriftPayloads.success(call.encoding(), body, report()));
        }

        @Override
        void fail() {
            answer(ThriftPayloads.failed(call.encoding(), report()));
        }

        @Override
        void turnAway() {
            answer(ThriftPayloads.refused(call.encoding(), report()));
        }

        @Override
        void reject() {
            answer(ThriftPayloads.failed(call.encoding(), report()));
        }

        @Override
        void breaks(String body, boolean half) {
            ByteBuf whole = bytes(ThriftPayloads.success(call.encoding(), body, report()));
            if (half) {
                ctx.writeAndFlush(whole.readSlice(whole.readableBytes() / 2));
            }
        }

        private ByteBuf bytes(byte[] result) {
            ByteBuf out = Unpooled.buffer(result.length + PADDING);
            MessageEncoder.write(
                    new ThriftMessage(
                            call.encoding(),
                            new MessageHeader(
                                    call.header().name(),
                                    MessageHeader.Type.REPLY,
                                    call.header().seqid()),
                            result),
                    day.form.framed(),
                    out);
            return out;
        }

        private void answer(byte[] result) {
            ctx.writeAndFlush(bytes(result));
            rests(this);
        }
    }
}
