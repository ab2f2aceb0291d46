package gatefront.thrift;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.AbstractFrontend;
import gatefront.engine.ClientPresence;
import gatefront.engine.ClientRequest;
import gatefront.engine.Payload;
import gatefront.engine.SettingsSnapshot;
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
 * Accepts client requests over Thrift. Each response carries the seqid of its request and is sent as soon as it is
 * available. A request whose seqid equals that of an outstanding one is processed after it, because a client that does
 * not number its calls matches responses by order. Malformed input closes the connection after the requests received
 * before it have been answered.
 */
public final class ThriftFrontend extends AbstractFrontend {
    private static final long MAX_TIMEOUT_MS = 3_600_000;
    /** Maximum requests of one connection that are in flight. */
    private static final int MAX_IN_FLIGHT = 32;

    /** Queued requests of one connection from which reading is paused. */
    private static final int MAX_QUEUED = 4;
    /** Calls on one connection that are read ahead in search of the client's close. */
    private static final int MAX_READ_AHEAD = 64;
    /** Calls of one connection that are processed in a turn of the loop. */
    private static final int MAX_PROCESSED_PER_POLL = 4;

    private static final int REPLY_OVERHEAD_BYTES = 160;

    private final Transport transport;
    private Config config;
    private final ThriftSettings settings;
    private final Listener listener;
    private final BooleanSupplier ready;

    /** Creates a frontend that does not listen until {@link #listen()} is called. */
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

    /** Judges calls that begin to arrive from now on by this configuration. */
    public void updateConfig(Config newConfig) {
        config = newConfig;
    }

    @Override
    protected void initPipeline(DuplexChannel channel) {
        MessageDecoder decoder = new MessageDecoder(MessageLimits.DEFAULT, settings.format());
        channel.pipeline().addLast(decoder, new ClientConnection(channel, decoder));
    }

    /** A call that has been read, and the configuration that was in force when it began to arrive. */
    private record QueuedCall(ThriftMessage message, Config config, long sentNanos) {}

    /** One request and its pending response. */
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
        public ClientPresence clientPresence() {
            return connection.inFlight.get(call.header().seqid()) == this
                    ? connection.clientPresence()
                    : ClientPresence.LEFT;
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
                        case DUPLICATE -> "another of the same request id is held or may have run";
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

        /** Completes the request; a response is written only for types other than ONEWAY. */
        private void respond(MessageHeader.Type type, byte[] body) {
            if (!answered && connection.inFlight.get(call.header().seqid()) == this) {
                answered = true;
                connection.complete(call, type, body);
            }
        }
    }

    /** A connection from a client. */
    private final class ClientConnection extends Connection {
        private final MessageDecoder decoder;
        /** Outstanding requests by seqid, in order of arrival. */
        private final Map<Integer, Exchange> inFlight = new LinkedHashMap<>();

        private final Deque<QueuedCall> queued = new ArrayDeque<>();
        /** The configuration in force when the call that is being received began, or null while there is none. */
        private Config incomingConfig;
        /** Reserved bytes of a call that is not yet complete. */
        private int partialBytes;
        /** Whether reading was stopped early (malformed input, no memory, timeout), so that unread input may remain. */
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
            releasePartial();
            if (!reserve(call.body().length)) {
                stopReading(); // without a memory reservation the request cannot even be queued
                return;
            }
            queued.add(new QueuedCall(call, incomingConfig == null ? config : incomingConfig, sentNanos()));
            incomingConfig = null;
            if (queued.size() >= MAX_QUEUED) {
                channel.config().setAutoRead(false);
            }
        }

        /** Processes what was read. Not earlier: that may read from the channel again, which decoders do not allow. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            reservePartial();
            if (incomingConfig == null && decoder.hasPartialMessage()) {
                incomingConfig = config;
            }
            processQueued();
            if ((state() == State.NEW || state() == State.KEEP_ALIVE) && decoder.hasPartialMessage()) {
                transitionTo(State.READING_REQUEST);
            }
        }

        /** Counts what has arrived of an incomplete call; one that there is no memory for is not read on. */
        private void reservePartial() {
            releasePartial();
            if (ignoresInput || !decoder.hasUnreadBytes()) {
                return;
            }
            int bytes = decoder.unreadBytes();
            if (reserve(bytes)) {
                partialBytes = bytes;
            } else {
                stopReading();
            }
        }

        private void releasePartial() {
            release(partialBytes);
            partialBytes = 0;
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            processQueued();
        }

        private ClientPresence clientPresence() {
            return readClientPresence();
        }

        @Override
        protected boolean canReadAhead() {
            return queued.size() < MAX_READ_AHEAD;
        }

        @Override
        protected void onReadTimeout() {
            stopReading();
        }

        @Override
        protected void onRequestDiscarded() {
            stopReading();
        }

        /** Stops reading; the connection is closed once the requests received so far have been answered. */
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

        /**
         * Processes some queued requests up to the in-flight limit, unless the client is slow to read responses; the
         * next ones have to wait until the loop has polled its sockets.
         */
        private void processQueued() {
            for (int processed = 0; processed < MAX_PROCESSED_PER_POLL && canProcessNext(); processed++) {
                process(queued.poll());
            }
            if (canProcessNext()) {
                scheduleQueued();
            }
            if (!ignoresInput) {
                channel.config().setAutoRead(queued.size() < MAX_QUEUED);
            }
        }

        private boolean canProcessNext() {
            return !queued.isEmpty()
                    && channel.isWritable()
                    && inFlight.size() < MAX_IN_FLIGHT
                    && !inFlight.containsKey(queued.peek().message.header().seqid());
        }

        private void process(QueuedCall call) {
            ThriftMessage message = call.message;
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
                } else if (method == null || !call.config.hasClass(method.requestClass())) {
                    exchange.respondWithError(ThriftConventions.UNKNOWN_METHOD, "unknown method " + header.name());
                } else {
                    dispatch(call, method, exchange);
                }
            } catch (RuntimeException e) {
                // An unexpected failure must not leave the client without a response.
                transport.log("call failed: " + e);
                exchange.respondWithError(ThriftConventions.INTERNAL_ERROR, "a fault of the agent's own");
            }
        }

        private void dispatch(QueuedCall call, ThriftSettings.Method method, Exchange exchange) {
            ThriftMessage message = call.message;
            CallMetadata.ParseResult parsed = CallMetadata.parse(message);
            Config configAtStart = call.config;
            String error = parsed.error() != null ? parsed.error() : validate(parsed.metadata(), method, configAtStart);
            if (error != null) {
                exchange.respondWithError(ThriftConventions.PROTOCOL_ERROR, error);
                return;
            }
            CallMetadata metadata = parsed.metadata();
            listener.request(
                    new ClientRequest(
                            new SettingsSnapshot(
                                    configAtStart.settings(), configAtStart.classes(), configAtStart.tenants()),
                            metadata.requestId,
                            method.requestClass(),
                            Math.max(0, configAtStart.tenants().indexOf(metadata.tenant)),
                            metadata.affinityKey.isEmpty() ? 0 : Config.id(metadata.affinityKey),
                            metadata.workHint,
                            metadata.timeoutMs,
                            metadata.clientRetry,
                            new ThriftCall(message, metadata.timeoutOffset, metadata.timeoutBytes)),
                    call.sentNanos,
                    exchange);
        }

        private void complete(ThriftMessage call, MessageHeader.Type type, byte[] body) {
            inFlight.remove(call.header().seqid());
            release(call.body().length);
            ChannelFuture writeFuture = call.header().type() == MessageHeader.Type.ONEWAY
                    ? null
                    : writeResponse(encodeReply(call, type, body), body.length);
            if (closesAfterResponse() && !ignoresInput) {
                ignoresInput = true; // otherwise a client that keeps sending would hold the connection open forever
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
                runAfterNextPoll(this::processQueued);
            }
        }

        private ByteBuf encodeReply(ThriftMessage call, MessageHeader.Type type, byte[] body) {
            // The service prefix is dropped, as multiplexed servers do: some generated clients compare the method name
            // only.
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

    /** Returns why a request is invalid, or null. The rules are the same as for requests over HTTP. */
    private static String validate(CallMetadata metadata, ThriftSettings.Method method, Config config) {
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
        // Without its key a server cannot detect a duplicate of a keyed request and would execute it twice.
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
