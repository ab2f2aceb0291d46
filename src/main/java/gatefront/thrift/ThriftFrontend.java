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
    private static final long MAX_TIMEOUT_MS = 3_600_000;
    /** Calls of one connection in work at the most, and read ahead beyond these before it is left alone. */
    private static final int MAX_IN_FLIGHT = 32;

    private static final int MAX_QUEUED = 4;
    private static final int REPLY_OVERHEAD_BYTES = 160;

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
            int maxConnections,
            BooleanSupplier ready,
            ResourceBudget budget,
            Listener listener) {
        super(transport, settings.listen(), maxConnections, budget);
        this.transport = transport;
        this.config = config;
        this.settings = settings;
        this.listener = listener;
        this.ready = ready;
    }

    @Override
    protected void initPipeline(DuplexChannel channel) {
        MessageDecoder decoder = new MessageDecoder(MessageLimits.DEFAULT, settings.format());
        channel.pipeline().addLast(decoder, new ClientConnection(channel, decoder));
    }

    /** One call and the answer it is owed. */
    private final class Exchange implements gatefront.engine.Exchange {
        private final ClientConnection connection;
        private final ThriftMessage call;
        private final boolean declaresExceptions;
        private boolean answered;

        private Exchange(ClientConnection connection, ThriftMessage call, boolean declaresExceptions) {
            this.connection = connection;
            this.call = call;
            this.declaresExceptions = declaresExceptions;
        }

        @Override
        public void served(Payload payload) {
            if (call.header().type() == MessageHeader.Type.ONEWAY) {
                respond(null, null);
            } else {
                forward(payload);
            }
        }

        @Override
        public void rejected(Payload payload) {
            forward(payload);
        }

        private void forward(Payload payload) {
            ThriftMessage reply = ((ThriftReply) payload).message();
            respond(reply.header().type(), reply.body());
        }

        @Override
        public void refused(long retryAfterMicros) {
            long millis = Math.max(1, retryAfterMicros / 1000);
            if (declaresExceptions) {
                respond(MessageHeader.Type.REPLY, ErrorResults.refused(call.encoding(), "not started", millis));
            } else {
                respond(
                        MessageHeader.Type.EXCEPTION,
                        ErrorResults.application(
                                call.encoding(),
                                ThriftConventions.INTERNAL_ERROR,
                                "refused, not started; retry_after_ms=" + millis));
            }
        }

        @Override
        public void failed(Failure failure) {
            String reason =
                    switch (failure) {
                        case NOT_SERVED -> "no server has served it";
                        case TIME_UP -> "its time is up";
                        case DUPLICATE -> "another of the same request id is held";
                        case INTERNAL -> "a fault of the agent's own";
                    };
            if (declaresExceptions) {
                respond(MessageHeader.Type.REPLY, ErrorResults.failed(call.encoding(), reason));
            } else {
                respond(
                        MessageHeader.Type.EXCEPTION,
                        ErrorResults.application(
                                call.encoding(), ThriftConventions.INTERNAL_ERROR, "failed: " + reason));
            }
        }

        private void respondWithError(int type, String message) {
            respond(MessageHeader.Type.EXCEPTION, ErrorResults.application(call.encoding(), type, message));
        }

        /** Gives the final answer; a call that wants none gets none, and is over all the same. */
        private void respond(MessageHeader.Type type, byte[] body) {
            if (!answered && connection.inFlight.get(call.header().seqid()) == this) {
                answered = true;
                connection.complete(call, type, body);
            }
        }
    }

    /** One connection of the application's. */
    private final class ClientConnection extends Connection {
        private final MessageDecoder decoder;
        /** Owed an answer, by seqid, in the order in which they came. */
        private final Map<Integer, Exchange> inFlight = new LinkedHashMap<>();

        private final Deque<ThriftMessage> queued = new ArrayDeque<>();
        /** What came was wrong, and more of it may be on the way. */
        private boolean mayHaveUnreadInput;

        ClientConnection(DuplexChannel channel, MessageDecoder decoder) {
            super(channel);
            this.decoder = decoder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object read) {
            if (ignoresInput) {
                return;
            }
            if (read instanceof MalformedMessageException) {
                stopReading();
                return;
            }
            ThriftMessage call = (ThriftMessage) read;
            if (!reserve(call.body().length)) {
                stopReading(); // without room it cannot even wait for its turn
                return;
            }
            queued.add(call);
            processQueued();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if ((state() == State.NEW || state() == State.KEEP_ALIVE) && decoder.hasPartialMessage()) {
                transitionTo(State.READING_REQUEST);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            processQueued();
        }

        @Override
        protected void onReadTimeout() {
            stopReading();
        }

        /** Nothing more is read; what has come before is answered, and then the connection ends. */
        private void stopReading() {
            ignoresInput = true;
            mayHaveUnreadInput = true;
            channel.config().setAutoRead(false);
            if (inFlight.isEmpty() && queued.isEmpty()) {
                closeAfterWrite(channel.writeAndFlush(Unpooled.EMPTY_BUFFER), true);
            }
        }

        @Override
        protected void onClosed() {
            queued.clear();
            List<Exchange> abandoned = List.copyOf(inFlight.values());
            inFlight.clear();
            abandoned.forEach(listener::clientLeft);
        }

        /** Takes what has come, as far as it may be in work at once, and not while answers are still to be read. */
        private void processQueued() {
            while (!queued.isEmpty()
                    && channel.isWritable()
                    && inFlight.size() < MAX_IN_FLIGHT
                    && !inFlight.containsKey(queued.peek().header().seqid())) {
                process(queued.poll());
            }
            if (!ignoresInput) {
                channel.config().setAutoRead(queued.size() < MAX_QUEUED);
            }
        }

        private void process(ThriftMessage message) {
            transitionTo(State.AWAITING_RESPONSE);
            MessageHeader header = message.header();
            ThriftSettings.Method method = settings.method(header.name());
            Exchange exchange = new Exchange(this, message, method != null && method.declaresExceptions());
            inFlight.put(header.seqid(), exchange);
            try {
                if (header.type() != MessageHeader.Type.CALL && header.type() != MessageHeader.Type.ONEWAY) {
                    exchange.respondWithError(ThriftConventions.INVALID_MESSAGE_TYPE, "neither a call nor oneway");
                } else if (header.name().equals(ThriftConventions.HEALTH)) {
                    exchange.respond(
                            MessageHeader.Type.REPLY,
                            ErrorResults.health(message.encoding(), ready.getAsBoolean() && !isMarkedNotReady()));
                } else if (method == null) {
                    exchange.respondWithError(ThriftConventions.UNKNOWN_METHOD, "unknown method " + header.name());
                } else {
                    dispatch(message, method, exchange);
                }
            } catch (RuntimeException e) {
                // Guards against a fault here that would leave the client without its answer.
                transport.log("call failed: " + e);
                exchange.respondWithError(ThriftConventions.INTERNAL_ERROR, "a fault of the agent's own");
            }
        }

        private void dispatch(ThriftMessage message, ThriftSettings.Method method, Exchange exchange) {
            CallMetadata.ParseResult parsed = CallMetadata.parse(message);
            String error = parsed.error() != null ? parsed.error() : validate(parsed.metadata(), method);
            if (error != null) {
                exchange.respondWithError(ThriftConventions.PROTOCOL_ERROR, error);
                return;
            }
            CallMetadata metadata = parsed.metadata();
            listener.request(
                    new ClientRequest(
                            metadata.requestId,
                            method.requestClass(),
                            Math.max(0, config.tenants().indexOf(metadata.tenant)),
                            metadata.affinityKey.isEmpty() ? 0 : Config.id(metadata.affinityKey),
                            metadata.workHint,
                            metadata.timeoutMs,
                            metadata.clientRetry,
                            new ThriftCall(message, metadata.timeoutOffset, metadata.timeoutBytes)),
                    exchange);
        }

        private void complete(ThriftMessage call, MessageHeader.Type type, byte[] body) {
            inFlight.remove(call.header().seqid());
            release(call.body().length);
            ChannelFuture writeFuture = call.header().type() == MessageHeader.Type.ONEWAY
                    ? null
                    : writeResponse(encodeReply(call, type, body), body.length);
            if (closesAfterResponse() && !ignoresInput) {
                ignoresInput = true; // Guards against a caller that goes on asking, whose connection would never end.
                channel.config().setAutoRead(false);
            }
            if (!inFlight.isEmpty()) {
                scheduleQueued();
                return;
            }
            if (queued.isEmpty() && ignoresInput) {
                closeAfterWrite(
                        writeFuture == null ? channel.writeAndFlush(Unpooled.EMPTY_BUFFER) : writeFuture,
                        mayHaveUnreadInput);
            } else {
                transitionTo(decoder.hasPartialMessage() ? State.READING_REQUEST : State.KEEP_ALIVE);
                scheduleQueued();
            }
        }

        private void scheduleQueued() {
            if (!queued.isEmpty()) {
                channel.eventLoop().execute(this::processQueued);
            }
        }

        private ByteBuf encodeReply(ThriftMessage call, MessageHeader.Type type, byte[] body) {
            // As servers of several services reply: some generated clients compare the name with the method's alone.
            String name = call.header().name();
            MessageHeader header = new MessageHeader(
                    name.substring(name.indexOf(':') + 1), type, call.header().seqid());
            ByteBuf out = Unpooled.buffer(body.length + REPLY_OVERHEAD_BYTES);
            MessageEncoder.write(
                    new ThriftMessage(call.encoding(), header, body),
                    decoder.format().framed(),
                    out);
            return out;
        }
    }

    /** Why a call is not taken, or null. The rules are those of requests over HTTP. */
    private String validate(CallMetadata metadata, ThriftSettings.Method method) {
        if (!ClientRequest.isValidId(metadata.requestId)) {
            return "requestId is missing or has not the form of an id";
        }
        if (metadata.timeoutMs < 1 || metadata.timeoutMs > MAX_TIMEOUT_MS) {
            return "timeoutMs is not within 1 to " + MAX_TIMEOUT_MS;
        }
        if (metadata.workHint < 0) {
            return "workHint is negative";
        }
        if (!config.tenants().isEmpty() && !config.tenants().contains(metadata.tenant)) {
            return "tenant is not known";
        }
        // Guards against an effect twice: without its key no server would drop a repeat.
        boolean keyed = config.settings().classes().get(method.requestClass()).semantics() == Balancer.Semantics.KEYED;
        if (keyed
                ? metadata.idempotencyKey == null || !ClientRequest.isValidId(metadata.idempotencyKey)
                : metadata.idempotencyKey != null) {
            return keyed
                    ? "idempotencyKey is missing or has not the form of an id"
                    : "idempotencyKey on a method that is not keyed";
        }
        return null;
    }
}
