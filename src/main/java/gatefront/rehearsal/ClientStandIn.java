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
 * The callers beside one agent: a try at a time for each that wants something, on connections of which each
 * carries one request; they keep connections and open more when all are busy.
 */
final class ClientStandIn {
    private static final int ANSWER_MOST = 1 << 20;
    private static final String BODY = "{\"importe\":123.45}";
    /** An answer given in time may be on its way for so long, in microseconds. */
    private static final long ON_ITS_WAY = 50_000;
    /** The part of an agent's descriptors that its callers hold at the most. */
    private static final int SOCKETS_PART = 3;

    private final RunContext day;
    private final int agent;
    private final Machine machine;
    private final Bootstrap bootstrap;
    private final RetryBehavior patience;
    /** Connections in no use, the latest used last; each removes itself when it closes. */
    private final Deque<Line> idle = new ArrayDeque<>();

    private int lines;

    /** The part of the aim that a caller in a hurry waits for one try. */
    private static final double HURRIED = 0.25;

    private final RandomStream hurry;

    /** What one caller wants, over all its tries. */
    private final class Wish {
        final Demand.Want want;
        final Plan.RequestClass kind;
        final long giveUp;
        final String key;
        int tries;
        long firstSentAt = -1;

        /** How long it waits for the answer to one try. */
        final long eachTry;

        Wish(Demand.Want want) {
            this.want = want;
            this.kind = day.plan.classes().get(want.kind());
            this.eachTry = (long)
                    (hurried(want) ? HURRIED * 1000 * kind.targetMs() : 1000 * kind.timeoutMs() * day.cast.tryShare());
            this.giveUp = want.at() + (long) (1000 * kind.timeoutMs());
            this.key = "k" + want.number();
        }
    }

    /** One try. */
    private final class Try {
        final Wish wish;
        final String id;
        final long deadline;
        final long at = day.now();
        boolean taken;
        boolean resent;
        boolean over;
        /** The rig's own lateness that has been added to its time, in microseconds. */
        long excused;

        Line line;
        Future<?> timer;

        Try(Wish wish, long deadline) {
            this.wish = wish;
            this.deadline = deadline;
            this.id = Long.toHexString(day.seed) + "-" + wish.want.number() + "-" + wish.tries;
        }
    }

    ClientStandIn(RunContext day, int agent, Machine machine, InetSocketAddress to) {
        this.day = day;
        this.agent = agent;
        this.machine = machine;
        Plan.Clients callers = day.plan.clients();
        this.patience = new RetryBehavior(
                callers.retries(),
                1000 * callers.backoffMs(),
                callers.retryAfterCompliance(),
                day.draw("callers " + agent));
        this.hurry = day.draw("hurry " + agent);
        this.bootstrap = new Bootstrap()
                .group(machine.transport().loop())
                .channelFactory(machine.transport().clientChannels())
                .remoteAddress(to)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 3_000)
                .option(ChannelOption.TCP_NODELAY, true)
                .disableResolver(); // addresses are literal; the usual resolvers would keep the loop for ever
    }

    /** Somebody wants something, now. */
    void ask(Demand.Want want) {
        day.record.asked(want);
        attempt(new Wish(want));
    }

    /** Whether the caller is one of those that a fault makes hurry. */
    private boolean hurried(Demand.Want want) {
        boolean hurried = false;
        for (ResolvedPlan.Trouble each : day.cast.troubles()) {
            long since = want.at() - day.record.opensAt() - each.at();
            if (each.fault().kind() == Fault.Kind.HURRY && since >= 0 && since < each.lasts()) {
                hurried |= hurry.unit() < each.size();
            }
        }
        return hurried;
    }

    private void attempt(Wish wish) {
        long now = day.now();
        wish.tries++;
        Try made = new Try(wish, Math.min(now + wish.eachTry, wish.giveUp));
        day.wants.put(made.id, wish.want);
        day.record.tried(now);
        made.timer = machine.transport()
                .loop()
                .schedule(
                        () -> timeUp(made),
                        made.deadline - now + (long) (1000 * day.plan.rules().answerSlackMs()) + ON_ITS_WAY + day.slack,
                        TimeUnit.MICROSECONDS);
        place(made);
    }

    private void place(Try made) {
        if (day.now() >= made.deadline) { // sent again after a close that crossed it, and nobody waits any more
            end(made, RetryBehavior.Fate.TIMED_OUT, 0);
            return;
        }
        Line line = idle.pollLast();
        if (line != null) {
            line.send(made);
            return;
        }
        if (lines >= day.plan.agents().maxSockets() / SOCKETS_PART) {
            end(made, RetryBehavior.Fate.UNREACHED, 0);
            return;
        }
        lines++;
        Line fresh = day.form == null ? new HttpLine() : new ThriftLine();
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        fresh.channel = ch;
                        ch.pipeline().addLast(fresh.codec()).addLast(fresh);
                    }
                })
                .connect();
        connecting.channel().closeFuture().addListener(closed -> lines--);
        made.line = fresh;
        connecting.addListener(done -> {
            if (made.over) {
                fresh.channel.close();
            } else if (done.isSuccess() && day.now() < made.deadline) {
                fresh.send(made);
            } else if (done.isSuccess()) {
                // Guards against blaming an agent that gets a request when nobody waits for its answer any more.
                fresh.channel.close();
                end(made, RetryBehavior.Fate.TIMED_OUT, 0);
            } else {
                end(made, RetryBehavior.Fate.UNREACHED, 0);
            }
        });
    }

    /** The caller waits no longer; by then its answer was due. */
    private void timeUp(Try made) {
        long late = day.ways.late(made.deadline, day.now());
        if (!made.over && late > made.excused) {
            // The rig itself was late: what has come meanwhile may not have been read.
            long more = late - made.excused;
            made.excused = late;
            made.timer = machine.transport().loop().schedule(() -> timeUp(made), more, TimeUnit.MICROSECONDS);
            return;
        }
        if (!made.over) {
            if (made.taken) {
                if (!day.ways.owes(agent, made.at, day.now())) {
                    day.checker.released(day.now(), made.id, "its agent was stopped or cut off");
                } else if (day.agents.get(agent).tookSince(made.at)) {
                    day.checker.unanswered(day.now(), made.id);
                } else {
                    day.checker.released(day.now(), made.id, "its agent was killed or cut off");
                }
            }
            if (made.line != null && made.line.channel != null) {
                made.line.current = null;
                made.line.channel.close();
            }
            end(made, RetryBehavior.Fate.TIMED_OUT, 0);
        }
    }

    private void end(Try made, RetryBehavior.Fate fate, long retryAfter) {
        if (made.over) {
            return;
        }
        made.over = true;
        made.timer.cancel(false);
        long now = day.now();
        Wish wish = made.wish;
        // Its attempts may still run, and must be known by what they take.
        day.at(now + 60_000_000, () -> day.wants.remove(made.id));
        Plan.RequestClass kind = wish.kind;
        RetryBehavior.Repeat repeat = kind.semantics() == Semantics.SAFE
                ? RetryBehavior.Repeat.SAFE
                : kind.semantics() == Semantics.KEYED && kind.scope() == Scope.ALL
                        ? RetryBehavior.Repeat.KEYED_EVERYWHERE
                        : RetryBehavior.Repeat.CAREFUL;
        long windowEnd = wish.firstSentAt < 0 ? wish.giveUp : wish.firstSentAt + (long) (1000 * kind.windowMs() / 2);
        long again = patience.again(now, wish.tries, fate, repeat, windowEnd, wish.giveUp, retryAfter);
        if (again == RetryBehavior.NEVER) {
            day.record.settled(wish.want, now, fate);
        } else {
            machine.transport().loop().schedule(() -> attempt(wish), again - now, TimeUnit.MICROSECONDS);
        }
    }

    /** One connection to the agent, whatever protocol it speaks. */
    private abstract class Line extends SimpleChannelInboundHandler<Object> {
        Channel channel;
        private Try current;
        private boolean used;

        /** What stands before it in its pipeline. */
        abstract ChannelHandler[] codec();

        /** What is written for a try. */
        abstract Object request(Try made);

        void send(Try made) {
            current = made;
            made.line = this;
            Wish wish = made.wish;
            channel.writeAndFlush(request(made)).addListener(done -> {
                if (done.isSuccess() && !made.over) {
                    made.taken = true;
                    wish.firstSentAt = wish.firstSentAt < 0 ? day.now() : wish.firstSentAt;
                    day.checker.taken(day.now(), made.id, wish.want.kind(), agent, made.deadline);
                } // else: its end is told by channelInactive
            });
        }

        /** The try that waits for an answer here, or null. */
        final Try current() {
            return current;
        }

        /** Its answer has come whole: a status as HTTP has them, what was served, the wait advised. */
        final void answered(int status, String body, boolean kept, long retryAfterMicros) {
            Try made = current;
            current = null;
            long at = day.micros(machine.sentAt(channel));
            if (at > made.deadline && !day.ways.owes(agent, made.at, at)) {
                day.checker.released(at, made.id, "its agent was stopped or cut off");
            } else {
                day.checker.answered(at, made.id, status, status == 200 ? body : null);
            }
            if (kept) {
                used = true;
                idle.addLast(this);
            } else {
                channel.close();
            }
            if (status == 200) {
                day.ways.served(at, agent);
            }
            RetryBehavior.Fate fate = status == 200
                    ? RetryBehavior.Fate.SERVED
                    : status == 429 || status == 503 ? RetryBehavior.Fate.REFUSED : RetryBehavior.Fate.FAILED;
            if (fate == RetryBehavior.Fate.REFUSED) {
                day.record.crowd.refused(day.idlePart());
            }
            end(made, fate, Math.min(retryAfterMicros, (long)
                    (1000 * day.plan.clients().retryAfterMs())));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.remove(this);
            Try made = current;
            current = null;
            if (made == null || made.over) {
                return;
            }
            AgentStandIn stand = day.agents.get(agent);
            boolean alive = stand.tookSince(made.at) && day.ways.owes(agent, made.at, day.now());
            if (made.taken && !alive) {
                day.checker.released(day.now(), made.id, "its agent was killed");
            }
            boolean crossed = !made.taken || alive && day.checker.dropped(day.now(), made.id);
            if (crossed && used && !made.resent) {
                made.resent = true;
                made.taken = false;
                place(made);
            } else {
                end(made, RetryBehavior.Fate.UNREACHED, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
    /** One over HTTP/1.1. */
    private final class HttpLine extends Line {
        @Override
        ChannelHandler[] codec() {
            return new ChannelHandler[] {new HttpClientCodec(), new HttpObjectAggregator(ANSWER_MOST)};
        }

        @Override
        Object request(Try made) {
            Wish wish = made.wish;
            Demand.Want want = wish.want;
            boolean safe = wish.kind.semantics() == Semantics.SAFE;
            var request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    safe ? HttpMethod.GET : HttpMethod.POST,
                    "/" + wish.kind.name() + "?n=" + want.number(),
                    safe ? Unpooled.EMPTY_BUFFER : Unpooled.copiedBuffer(BODY, StandardCharsets.US_ASCII));
            HttpHeaders headers = request.headers();
            headers.set(HttpHeaderNames.HOST, "origin.svc")
                    .set("Request-Id", made.id)
                    .set("Request-Class", wish.kind.name())
                    .set("Work-Hint", want.hint())
                    .set("Request-Timeout-Ms", millisLeft(made));
            if (!day.plan.tenants().isEmpty()) {
                headers.set("Tenant", tenant(want));
            }
            if (repeats(wish)) {
                headers.set("Client-Retry", "1");
            }
            if (!safe) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, BODY.length());
            }
            if (wish.kind.semantics() == Semantics.KEYED) {
                headers.set("Idempotency-Key", wish.key);
            }
            return request;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object read) {
            if (current() == null) {
                ctx.close();
                return;
            }
            FullHttpResponse response = (FullHttpResponse) read;
            answered(
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

    /** One over Thrift. */
    private final class ThriftLine extends Line {
        private int seqid;

        @Override
        ChannelHandler[] codec() {
            return new ChannelHandler[] {new MessageDecoder(MessageLimits.DEFAULT)};
        }

        @Override
        Object request(Try made) {
            Wish wish = made.wish;
            byte[] arguments = ThriftPayloads.call(
                    day.form.encoding(),
                    made.id,
                    millisLeft(made),
                    day.plan.tenants().isEmpty() ? null : tenant(wish.want),
                    wish.want.hint(),
                    repeats(wish),
                    wish.kind.semantics() == Semantics.KEYED ? wish.key : null,
                    BODY);
            ByteBuf out = Unpooled.buffer(arguments.length + 64);
            MessageHeader header = new MessageHeader(wish.kind.name(), MessageHeader.Type.CALL, ++seqid);
            MessageEncoder.write(new ThriftMessage(day.form.encoding(), header, arguments), day.form.framed(), out);
            return out;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object read) {
            if (current() == null
                    || !(read instanceof ThriftMessage reply)
                    || reply.header().seqid() != seqid) {
                ctx.close();
                return;
            }
            ThriftPayloads.Heard heard = ThriftPayloads.heard(reply);
            boolean served = reply.header().type() == MessageHeader.Type.REPLY && heard.success() != null;
            answered(served ? 200 : heard.refused() ? 503 : 502, heard.success(), true, heard.retryAfterMicros());
        }
    }

    private long millisLeft(Try made) {
        return Math.max(1, (made.deadline - day.now()) / 1000);
    }

    private String tenant(Demand.Want want) {
        return day.plan.tenants().get(want.tenant()).name();
    }

    private boolean repeats(Wish wish) {
        return wish.tries > 1 && day.plan.clients().marksRetry();
    }
}
