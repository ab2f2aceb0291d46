package gatefront.thrift;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.AbstractFrontend;
import gatefront.engine.ClientRequest;
import gatefront.engine.Payload;
import gatefront.policy.Balancer;
import gatefront.thrift.codec.MalformedMessageException;
import gatefront.thrift.codec.MessageDecoder;
import gatefront.thrift.codec.MessageEncoder;
import gatefront.thrift.codec.MessageHeader;
import gatefront.thrift.codec.MessageLimits;
import gatefront.thrift.codec.ThriftMessage;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The application's side over Thrift: calls in, final answers out, each by its seqid as soon as there is one. Calls
 * that have the same seqid as one that waits for its answer are taken after it: a client that numbers nothing tells
 * answers apart by their order. What is no message ends its connection, once what came before it is answered.
 */
public final class ThriftFrontend extends AbstractFrontend {
    private static final long TIMEOUT_MS_MAX = 3_600_000;
    /** Calls of one connection in work at the most, and read ahead beyond these before it is left alone. */
    private static final int IN_FLIGHT_MOST = 32;

    private static final int AHEAD_MOST = 4;
    private static final int REPLY_OVERHEAD = 160;

    private final Transport transport;
    private final Config config;
    private final ThriftSettings settings;
    private final Listener listener;
    private final BooleanSupplier ready;

    /** Listens to nobody yet; {@link #listen()} begins. */
    public ThriftFrontend(
            Transport transport,
            Config config,
            ThriftSettings settings,
            int connectionsMost,
            BooleanSupplier ready,
            ResourceBudget budget,
            Listener listener) {
        super(transport, settings.listen(), connectionsMost, budget);
        this.transport = transport;
        this.config = config;
        this.settings = settings;
        this.listener = listener;
        this.ready = ready;
    }

    @Override
    protected void initPipeline(DuplexChannel channel) {
        MessageDecoder decoder = new MessageDecoder(MessageLimits.USUAL, settings.form());
        channel.pipeline().addLast(decoder, new Caller(channel, decoder));
    }

    /** One call and the answer it is owed. */
    private final class Exchange implements gatefront.engine.Exchange {
        private final Caller connection;
        private final ThriftMessage call;
        private final boolean declares;
        private boolean answered;

        private Exchange(Caller connection, ThriftMessage call, boolean declares) {
            this.connection = connection;
            this.call = call;
            this.declares = declares;
        }

        @Override
        public void served(Payload payload) {
            if (call.header().type() == MessageHeader.Type.ONEWAY) {
                answer(null, null);
            } else {
                pass(payload);
            }
        }

        @Override
        public void rejected(Payload payload) {
            pass(payload);
        }

        private void pass(Payload payload) {
            ThriftMessage reply = ((ThriftReply) payload).message();
            answer(reply.header().type(), reply.body());
        }

        @Override
        public void refused(long retryAfterMicros) {
            long millis = Math.max(1, retryAfterMicros / 1000);
            if (declares) {
                answer(MessageHeader.Type.REPLY, ErrorResults.refused(call.encoding(), "not started", millis));
            } else {
                answer(
                        MessageHeader.Type.EXCEPTION,
                        ErrorResults.application(
                                call.encoding(),
                                ThriftConventions.INTERNAL_ERROR,
                                "refused, not started; retry_after_ms=" + millis));
            }
        }

        @Override
        public void failed(Failure why) {
            String reason =
                    switch (why) {
                        case NOT_SERVED -> "no server has served it";
                        case TIME_UP -> "its time is up";
                        case DUPLICATE -> "another of the same request id is held";
                        case INTERNAL -> "a fault of the agent's own";
                    };
            if (declares) {
                answer(MessageHeader.Type.REPLY, ErrorResults.failed(call.encoding(), reason));
            } else {
                answer(
                        MessageHeader.Type.EXCEPTION,
                        ErrorResults.application(
                                call.encoding(), ThriftConventions.INTERNAL_ERROR, "failed: " + reason));
            }
        }

        private void wrong(int type, String why) {
            answer(MessageHeader.Type.EXCEPTION, ErrorResults.application(call.encoding(), type, why));
        }

        /** Gives the final answer; a call that wants none gets none, and is over all the same. */
        private void answer(MessageHeader.Type type, byte[] body) {
            if (!answered && connection.inFlight.get(call.header().seqid()) == this) {
                answered = true;
                connection.answered(call, type, body);
            }
        }
    }

    /** One connection of the application's. */
    private final class Caller extends Connection {
        private final MessageDecoder decoder;
        /** Owed an answer, by seqid, in the order in which they came. */
        private final Map<Integer, Exchange> inFlight = new LinkedHashMap<>();

        private final Deque<ThriftMessage> ahead = new ArrayDeque<>();
        /** What came was wrong, and more of it may be on the way. */
        private boolean unread;

        Caller(DuplexChannel channel, MessageDecoder decoder) {
            super(channel);
            this.decoder = decoder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object read) {
            if (ignoresInput) {
                return;
            }
            if (read instanceof MalformedMessageException) {
                stop();
                return;
            }
            ThriftMessage call = (ThriftMessage) read;
            if (!reserve(call.body().length)) {
                stop(); // without room it cannot even wait for its turn
                return;
            }
            ahead.add(call);
            next();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if ((state() == State.NEW || state() == State.KEEP_ALIVE) && decoder.begun()) {
                transitionTo(State.READING_REQUEST);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            next();
        }

        @Override
        protected void onReadTimeout() {
            stop();
        }

        /** Nothing more is read; what has come before is answered, and then the connection ends. */
        private void stop() {
            ignoresInput = true;
            unread = true;
            channel.config().setAutoRead(false);
            if (inFlight.isEmpty() && ahead.isEmpty()) {
                closeAfterWrite(channel.writeAndFlush(Unpooled.EMPTY_BUFFER), true);
            }
        }

        @Override
        protected void onClosed() {
            ahead.clear();
            List<Exchange> left = List.copyOf(inFlight.values());
            inFlight.clear();
            left.forEach(listener::clientLeft);
        }

        /** Takes what has come, as far as it may be in work at once, and not while answers are still to be read. */
        private void next() {
            while (!ahead.isEmpty()
                    && channel.isWritable()
                    && inFlight.size() < IN_FLIGHT_MOST
                    && !inFlight.containsKey(ahead.peek().header().seqid())) {
                take(ahead.poll());
            }
            if (!ignoresInput) {
                channel.config().setAutoRead(ahead.size() < AHEAD_MOST);
            }
        }

        private void take(ThriftMessage message) {
            transitionTo(State.AWAITING_RESPONSE);
            MessageHeader header = message.header();
            ThriftSettings.Method method = settings.method(header.name());
            Exchange exchange = new Exchange(this, message, method != null && method.declares());
            inFlight.put(header.seqid(), exchange);
            try {
                if (header.type() != MessageHeader.Type.CALL && header.type() != MessageHeader.Type.ONEWAY) {
                    exchange.wrong(ThriftConventions.INVALID_MESSAGE_TYPE, "neither a call nor oneway");
                } else if (header.name().equals(ThriftConventions.HEALTH)) {
                    exchange.answer(
                            MessageHeader.Type.REPLY,
                            ErrorResults.health(message.encoding(), ready.getAsBoolean() && !isMarkedNotReady()));
                } else if (method == null) {
                    exchange.wrong(ThriftConventions.UNKNOWN_METHOD, "unknown method " + header.name());
                } else {
                    call(message, method, exchange);
                }
            } catch (RuntimeException e) {
                // Guards against a fault here that would leave the client without its answer.
                transport.log("call failed: " + e);
                exchange.wrong(ThriftConventions.INTERNAL_ERROR, "a fault of the agent's own");
            }
        }

        private void call(ThriftMessage message, ThriftSettings.Method method, Exchange exchange) {
            CallMetadata.Found found = CallMetadata.of(message);
            String wrong = found.wrong() != null ? found.wrong() : check(found.metadata(), method);
            if (wrong != null) {
                exchange.wrong(ThriftConventions.PROTOCOL_ERROR, wrong);
                return;
            }
            CallMetadata data = found.metadata();
            listener.request(
                    new ClientRequest(
                            data.requestId,
                            method.requestClass(),
                            Math.max(0, config.tenants().indexOf(data.tenant)),
                            data.affinityKey.isEmpty() ? 0 : Config.id(data.affinityKey),
                            data.workHint,
                            data.timeoutMs,
                            data.clientRetry,
                            new ThriftCall(message, data.timeoutAt, data.timeoutBytes)),
                    exchange);
        }

        private void answered(ThriftMessage call, MessageHeader.Type type, byte[] body) {
            inFlight.remove(call.header().seqid());
            release(call.body().length);
            ChannelFuture written = call.header().type() == MessageHeader.Type.ONEWAY
                    ? null
                    : writeResponse(reply(call, type, body), body.length);
            if (closesAfterResponse() && !ignoresInput) {
                ignoresInput = true; // Guards against a caller that goes on asking, whose connection would never end.
                channel.config().setAutoRead(false);
            }
            if (!inFlight.isEmpty()) {
                proceed();
                return;
            }
            if (ahead.isEmpty() && ignoresInput) {
                closeAfterWrite(written == null ? channel.writeAndFlush(Unpooled.EMPTY_BUFFER) : written, unread);
            } else {
                transitionTo(decoder.begun() ? State.READING_REQUEST : State.KEEP_ALIVE);
                proceed();
            }
        }

        private void proceed() {
            if (!ahead.isEmpty()) {
                channel.eventLoop().execute(this::next);
            }
        }

        private ByteBuf reply(ThriftMessage call, MessageHeader.Type type, byte[] body) {
            // As servers of several services reply: some generated clients compare the name with the method's alone.
            String name = call.header().name();
            MessageHeader header = new MessageHeader(
                    name.substring(name.indexOf(':') + 1), type, call.header().seqid());
            ByteBuf out = Unpooled.buffer(body.length + REPLY_OVERHEAD);
            MessageEncoder.write(
                    new ThriftMessage(call.encoding(), header, body),
                    decoder.form().framed(),
                    out);
            return out;
        }
    }

    /** Why a call is not taken, or null. The rules are those of requests over HTTP. */
    private String check(CallMetadata data, ThriftSettings.Method method) {
        if (!ClientRequest.isValidId(data.requestId)) {
            return "requestId is missing or has not the form of an id";
        }
        if (data.timeoutMs < 1 || data.timeoutMs > TIMEOUT_MS_MAX) {
            return "timeoutMs is not within 1 to " + TIMEOUT_MS_MAX;
        }
        if (data.workHint < 0) {
            return "workHint is negative";
        }
        if (!config.tenants().isEmpty() && !config.tenants().contains(data.tenant)) {
            return "tenant is not known";
        }
        // Guards against an effect twice: without its key no server would drop a repeat.
        boolean keyed = config.settings().classes().get(method.requestClass()).semantics() == Balancer.Semantics.KEYED;
        if (keyed
                ? data.idempotencyKey == null || !ClientRequest.isValidId(data.idempotencyKey)
                : data.idempotencyKey != null) {
            return keyed
                    ? "idempotencyKey is missing or has not the form of an id"
                    : "idempotencyKey on a method that is not keyed";
        }
        return null;
    }
}
