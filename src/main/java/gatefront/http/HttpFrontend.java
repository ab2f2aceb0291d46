package gatefront.http;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.AbstractFrontend;
import gatefront.engine.BodyStream;
import gatefront.engine.ClientRequest;
import gatefront.engine.Engine;
import gatefront.engine.Payload;
import gatefront.http.HttpUpstream.Outgoing;
import gatefront.http.HttpUpstream.Served;
import gatefront.http.codec.StrictHttpDecoders;
import gatefront.policy.Balancer;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The application's side: requests in, final answers out. Each exchange is answered once; what is asked in
 * advance on a connection waits for the answer before it. What is no request as the protocol has it is
 * answered with an error in its turn, and its connection ends. All of it runs on the agent's event loop.
 */
public final class HttpFrontend extends AbstractFrontend {
    /** What a connection has asked: a request, the agent's health (neither), or what earned it an error. */
    private record Asked(ClientRequest request, HttpResponseStatus error, boolean keepAlive) {}

    /** What goes from hop to hop only, or is set anew. */
    private static final AsciiString[] NOT_FORWARDED = {
        HttpHeaderNames.CONNECTION,
        AsciiString.cached("Keep-Alive"),
        AsciiString.cached("Proxy-Connection"),
        HttpHeaderNames.TE,
        HttpHeaderNames.TRAILER,
        HttpHeaderNames.TRANSFER_ENCODING,
        HttpHeaderNames.UPGRADE,
        HttpHeaderNames.EXPECT,
        HttpHeaderNames.CONTENT_LENGTH
    };

    private static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");
    private static final AsciiString REQUEST_CLASS = AsciiString.cached("Request-Class");
    private static final AsciiString TENANT = AsciiString.cached("Tenant");
    private static final AsciiString AFFINITY_KEY = AsciiString.cached("Affinity-Key");
    private static final AsciiString CLIENT_RETRY = AsciiString.cached("Client-Retry");
    private static final AsciiString WORK_HINT = AsciiString.cached("Work-Hint");
    private static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
    /** What a request says once at the most; of two, a server might believe the other. */
    private static final AsciiString[] ONCE = {
        HttpHeaderNames.HOST,
        REQUEST_ID,
        REQUEST_CLASS,
        TENANT,
        AFFINITY_KEY,
        HttpUpstream.REQUEST_TIMEOUT,
        CLIENT_RETRY,
        WORK_HINT,
        AsciiString.cached("Request-Info"),
        IDEMPOTENCY_KEY
    };

    private static final long TIMEOUT_MS_MAX = 3_600_000;
    /** Requests read ahead on one connection before it is left alone. */
    private static final int AHEAD_MOST = 4;
    /** A large body of which nothing comes for so long ends with its connection. */
    private static final long UPLOAD_STALLED_MS = 2_500;

    private final Transport transport;
    private Config config;
    private final Listener listener;
    private final BooleanSupplier ready;

    /** Listens to nobody yet; {@link #listen()} begins. */
    public HttpFrontend(
            Transport transport,
            Config config,
            int connectionsMost,
            BooleanSupplier ready,
            ResourceBudget budget,
            Listener listener) {
        super(transport, config.listen(), connectionsMost, budget);
        this.transport = transport;
        this.config = config;
        this.listener = listener;
        this.ready = ready;
    }

    @Override
    protected void init(DuplexChannel channel) {
        StrictHttpDecoders.Requests decoder = new StrictHttpDecoders.Requests();
        channel.pipeline().addLast(decoder, new HttpResponseEncoder(), new Caller(channel, decoder));
    }

    /** Requests whose heads come from now on are read by this configuration. */
    public void changed(Config to) {
        config = to;
    }

    /** One request and the answer it is owed. */
    private final class Exchange implements gatefront.engine.Exchange {
        private final Caller connection;
        private final boolean keepAlive;
        private final int bytes;
        private boolean answered;
        /** The answer that is being passed on in pieces, or null. */
        private BodyStream passing;

        private Exchange(Caller connection, boolean keepAlive, int bytes) {
            this.connection = connection;
            this.keepAlive = keepAlive;
            this.bytes = bytes;
        }

        @Override
        public void served(Payload payload) {
            answer(HttpResponseStatus.OK, (Served) payload, 0);
        }

        @Override
        public void rejected(Payload payload) {
            answer(((HttpUpstream.Rejection) payload).status());
        }

        @Override
        public void refused(long retryAfterMicros) {
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, null, retryAfterMicros);
        }

        @Override
        public void failed(Failure why) {
            answer(
                    switch (why) {
                        case NOT_SERVED -> HttpResponseStatus.BAD_GATEWAY;
                        case TIME_UP -> HttpResponseStatus.GATEWAY_TIMEOUT;
                        case DUPLICATE -> HttpResponseStatus.CONFLICT;
                        case INTERNAL -> HttpResponseStatus.INTERNAL_SERVER_ERROR;
                    });
        }

        private void answer(HttpResponseStatus status, Served served, long retryAfterMicros) {
            if (answered || connection.current != this) {
                return;
            }
            answered = true;
            if (served != null && served.flow() != null) {
                pass(served);
                return;
            }
            ByteBuf body = served == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(served.body());
            // What is set here was checked when it came.
            HttpHeaders headers = HttpUpstream.UNCHECKED.newHeaders();
            var response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            if (served != null) {
                describe(served, headers);
            }
            if (retryAfterMicros > 0) {
                headers.set(HttpHeaderNames.RETRY_AFTER, String.valueOf(retryAfterMicros / 1e6));
            }
            // What was asked in advance is answered before the connection ends.
            boolean last = last();
            if (last) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            connection.answered(this, connection.write(response, body.readableBytes()), last);
        }

        private boolean last() {
            return !keepAlive || connection.uploading() || closing() && !connection.asksMore();
        }

        private void describe(Served served, HttpHeaders headers) {
            if (served.contentType() != null) {
                headers.set(HttpHeaderNames.CONTENT_TYPE, served.contentType());
            }
            if (served.contentEncoding() != null) {
                headers.set(HttpHeaderNames.CONTENT_ENCODING, served.contentEncoding());
            }
        }

        /** Passes an answer on in pieces; one that breaks off ends the connection, so that the caller can tell. */
        private void pass(Served served) {
            HttpHeaders headers = HttpUpstream.UNCHECKED.newHeaders();
            if (served.length() < 0) {
                headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            } else {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, served.length());
            }
            describe(served, headers);
            boolean last = last();
            if (last) {
                headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            passing = served.flow();
            connection.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, headers), 0);
            connection.passes();
            passing.to(new BodyStream.Taker() {
                @Override
                public boolean piece(ByteBuf piece) {
                    connection.write(new DefaultHttpContent(piece), piece.readableBytes());
                    return connection.takes();
                }

                @Override
                public void ended() {
                    passing = null;
                    // Not before the caller has taken it: the time that a last answer has does not begin until then.
                    connection.write(LastHttpContent.EMPTY_LAST_CONTENT, 0).addListener(done -> {
                        if (connection.current == Exchange.this) { // else its caller has left meanwhile
                            // Its head was written long ago, and the end may have come near since.
                            connection.answered(Exchange.this, (ChannelFuture) done, last || last());
                        }
                    });
                }

                @Override
                public void broken() {
                    passing = null;
                    connection.cut();
                }
            });
        }

        /** The same without a body. */
        private void answer(HttpResponseStatus status) {
            answer(status, null, 0);
        }
    }

    /** One connection of the application's. */
    private final class Caller extends Connection {
        private final StrictHttpDecoders.Requests decoder;
        private final Deque<Asked> ahead = new ArrayDeque<>();
        /** The exchange that is owed an answer, or null. */
        private Exchange current;
        /** The request whose body is coming in, null for one about health; what has come of the body. */
        private ClientRequest incoming;

        private boolean keepAlive;
        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        /** The rest of a body that is too long to be held, on its way to a server; null while there is none. */
        private BodyStream upload;

        private long uploaded;
        /** How the body that is coming in ends. */
        private long length;

        Caller(DuplexChannel channel, StrictHttpDecoders.Requests decoder) {
            super(channel);
            this.decoder = decoder;
        }

        private ChannelFuture write(Object response, int bytes) {
            return answer(response, bytes);
        }

        @Override
        protected void tooSlow() {
            wrong(HttpResponseStatus.REQUEST_TIMEOUT);
        }

        @Override
        protected void ended() {
            ahead.clear();
            body = Unpooled.EMPTY_BUFFER;
            Exchange left = current;
            current = null;
            if (left != null) {
                listener.callerLeft(left);
                if (left.passing != null) {
                    left.passing.cancel();
                }
            }
            if (upload != null) {
                upload.breakOff();
                upload = null;
            }
        }

        private boolean takes() {
            return channel.isWritable();
        }

        /** Whether the body of a request is on its way and not whole: what follows it on the connection is unknown. */
        private boolean uploading() {
            return upload != null;
        }

        private void passes() {
            move(State.PASSING);
        }

        private void cut() {
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object read) {
            if (deaf) {
                return;
            }
            HttpObject part = (HttpObject) read;
            if (part.decoderResult().isFailure()) {
                wrong(HttpResponseStatus.BAD_REQUEST);
                return;
            }
            if (part instanceof HttpRequest head) {
                begin(head);
            }
            if (part instanceof HttpContent content && !deaf) {
                add(content.content());
            }
            if (part instanceof LastHttpContent && !deaf && upload != null) {
                BodyStream whole = upload;
                upload = null;
                whole.end();
            } else if (part instanceof LastHttpContent && !deaf) {
                ClientRequest whole =
                        incoming == null || !body.isReadable() ? incoming : with(incoming, ByteBufUtil.getBytes(body));
                body = Unpooled.EMPTY_BUFFER;
                ask(new Asked(whole, null, keepAlive));
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            if ((state() == State.SILENT || state() == State.KEPT) && decoder.begun()) {
                move(State.BEGUN);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (current != null && current.passing != null && channel.isWritable()) {
                move(State.PASSING); // it has taken something
                current.passing.resume();
            }
            next();
        }

        private void begin(HttpRequest head) {
            keepAlive = HttpUtil.isKeepAlive(head);
            incoming = null;
            length = StrictHttpDecoders.framing(head.headers());
            HttpResponseStatus error = badFraming(head, length);
            if (error == null && !health(head)) {
                incoming = parse(head);
                error = incoming == null ? HttpResponseStatus.BAD_REQUEST : null;
            }
            if (error != null) {
                wrong(error);
                return;
            }
            if (length > 0 || length == StrictHttpDecoders.CHUNKED) {
                body = Unpooled.buffer(length > 0 ? (int) Math.min(length, 1024) : 256, HttpUpstream.BODY_MAX);
                if (HttpUtil.is100ContinueExpected(head) && current == null && ahead.isEmpty()) {
                    channel.writeAndFlush(new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
                }
            }
        }

        private void add(ByteBuf bytes) {
            int n = bytes.readableBytes();
            if (state() == State.BEGUN && n > 0) {
                move(State.BEGUN); // a body may come slowly, as long as it comes
            }
            if (upload == null && body.readableBytes() + n > HttpUpstream.BODY_MAX) {
                if (incoming == null) {
                    wrong(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                    return;
                }
                beginUpload();
            }
            if (upload != null) {
                uploaded += n;
                if (uploaded > HttpUpstream.LARGE_MAX) {
                    endUpload(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                } else if (!hold(n)) {
                    endUpload(HttpResponseStatus.SERVICE_UNAVAILABLE);
                } else if (!upload.give(bytes.retain())) {
                    channel.config().setAutoRead(!upload.isStopped());
                }
            } else if (!hold(n)) {
                wrong(HttpResponseStatus.SERVICE_UNAVAILABLE);
            } else if (n > 0) {
                body.writeBytes(bytes);
            }
        }

        /** What has come of a body begins its way to a server, and the rest follows as it comes. */
        private void beginUpload() {
            BodyStream pieces = new BodyStream(new BodyStream.Giver() {
                @Override
                public void passed(int bytes) {
                    release(bytes);
                }

                @Override
                public void more() {
                    if (!deaf) {
                        channel.config().setAutoRead(true);
                    }
                }

                @Override
                public void unwanted() {
                    // Answered before it was whole: nothing more is read as a request, and the connection ends.
                    deaf = true;
                    upload = null;
                    channel.config().setAutoRead(true);
                }
            });
            ByteBuf come = body;
            body = Unpooled.EMPTY_BUFFER;
            upload = pieces;
            uploaded = come.readableBytes();
            pieces.give(come);
            watch(pieces, uploaded);
            ask(new Asked(with(incoming, pieces, length), null, keepAlive));
        }

        /** No more is taken of a body that is on its way: nobody gets it whole, and the caller is told why. */
        private void endUpload(HttpResponseStatus why) {
            BodyStream pieces = upload;
            Exchange asked = current;
            if (asked == null || ahead.stream().anyMatch(each -> each.request != null)) {
                channel.close(); // one that waits for the answers before it: they are not to be overtaken
                return;
            }
            asked.answer(why, null, why.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? Engine.RETRY_AFTER_MICROS : 0);
            listener.callerLeft(asked);
            upload = null;
            pieces.breakOff();
            channel.config().setAutoRead(true); // what still comes is read and dropped until the answer has been read
        }

        /** Guards against a body of which nothing more comes, held open for ever. */
        private void watch(BodyStream pieces, long before) {
            transport
                    .loop()
                    .schedule(
                            () -> {
                                if (upload != pieces) {
                                    return;
                                }
                                if (uploaded == before && !pieces.isStopped()) {
                                    channel.close();
                                } else {
                                    watch(pieces, uploaded);
                                }
                            },
                            UPLOAD_STALLED_MS,
                            TimeUnit.MILLISECONDS);
        }

        /**
         * What came is no request. Guards against answering it out of turn, where the client would take the
         * error for the answer to what it asked before, and against reading on what nobody will use.
         */
        private void wrong(HttpResponseStatus error) {
            if (upload != null) {
                endUpload(error);
                return;
            }
            deaf = true;
            body = Unpooled.EMPTY_BUFFER;
            channel.config().setAutoRead(false);
            ask(new Asked(null, error, false));
        }

        /** Whether a request has come in advance; what is none may go unanswered with its connection. */
        private boolean asksMore() {
            return !ahead.isEmpty() && ahead.peek().error == null;
        }

        private void ask(Asked asked) {
            ahead.add(asked);
            next();
        }

        /** What was asked is taken in its turn, and not while answers are still to be read. */
        private void next() {
            if (!deaf) {
                channel.config().setAutoRead(ahead.size() < AHEAD_MOST && (upload == null || !upload.isStopped()));
            }
            if (current == null && !ahead.isEmpty() && channel.isWritable()) {
                take(ahead.poll());
            }
        }

        private void take(Asked asked) {
            move(State.OWED);
            ClientRequest request = asked.request;
            Exchange exchange = new Exchange(this, asked.keepAlive, request == null ? 0 : body(request).length);
            current = exchange;
            try {
                if (asked.error != null) {
                    boolean refused = asked.error.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
                    exchange.answer(asked.error, null, refused ? Engine.RETRY_AFTER_MICROS : 0);
                } else if (request == null) {
                    exchange.answer(
                            ready.getAsBoolean() && !leaving()
                                    ? HttpResponseStatus.OK
                                    : HttpResponseStatus.SERVICE_UNAVAILABLE);
                } else {
                    listener.call(request, exchange);
                }
            } catch (RuntimeException e) {
                // Guards against a fault here that would leave the client without its answer.
                transport.log("request failed: " + e);
                exchange.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        }

        /** After an answer: the connection ends or is in no use, or what was asked in advance is next. */
        private void answered(Exchange exchange, ChannelFuture written, boolean last) {
            current = null;
            release(exchange.bytes);
            if (last) {
                boolean unread = (deaf || upload != null) && decoder.begun();
                ahead.clear();
                finish(written, unread);
            } else {
                move(decoder.begun() ? State.BEGUN : State.KEPT);
                if (!ahead.isEmpty()) {
                    channel.eventLoop().execute(this::next);
                }
            }
        }
    }

    private static ClientRequest with(ClientRequest call, byte[] body) {
        Outgoing without = (Outgoing) call.payload();
        return new ClientRequest(
                call.id(),
                call.requestClass(),
                call.tenant(),
                call.key(),
                call.hint(),
                call.timeoutMs(),
                call.repeated(),
                new Outgoing(without.method(), without.uri(), without.headers(), body));
    }

    private static ClientRequest with(ClientRequest call, BodyStream body, long length) {
        Outgoing without = (Outgoing) call.payload();
        return new ClientRequest(
                call.id(),
                call.requestClass(),
                call.tenant(),
                call.key(),
                call.hint(),
                call.timeoutMs(),
                call.repeated(),
                new Outgoing(
                        without.method(),
                        without.uri(),
                        without.headers(),
                        HttpUpstream.NO_BODY,
                        body,
                        Math.max(-1, length)));
    }

    private static byte[] body(ClientRequest call) {
        return ((Outgoing) call.payload()).body();
    }

    private static boolean health(HttpRequest head) {
        return head.uri().equals("/healthz")
                && head.method().equals(HttpMethod.GET)
                && !head.headers().contains(REQUEST_ID);
    }

    /** Why the bytes that follow cannot be told apart or will not be read, or null. */
    private static HttpResponseStatus badFraming(HttpRequest head, long length) {
        if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED;
        }
        if (length == StrictHttpDecoders.UNCLEAR) {
            return HttpResponseStatus.BAD_REQUEST;
        }
        if (length > HttpUpstream.LARGE_MAX) {
            return HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE;
        }
        String expected = head.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !expected.equalsIgnoreCase("100-continue")) {
            return HttpResponseStatus.EXPECTATION_FAILED;
        }
        boolean bodiless = length == 0 || length == StrictHttpDecoders.NO_LENGTH;
        if (head.method().equals(HttpMethod.GET)) {
            return bodiless ? null : HttpResponseStatus.BAD_REQUEST;
        }
        return length == StrictHttpDecoders.NO_LENGTH ? HttpResponseStatus.LENGTH_REQUIRED : null;
    }

    /**
     * The request as the agent takes it, or null if it is not as the protocol has it. Guards against passing
     * on what a server would turn away, or would close a connection for on which more is waiting.
     */
    public ClientRequest parse(HttpRequest request) {
        HttpHeaders headers = request.headers();
        String uri = request.uri();
        if (!visible(uri, '!') || !uri.startsWith("/")) {
            return null;
        }
        HttpHeaders forwarded = HttpUpstream.UNCHECKED.newHeaders();
        int seen = 0;
        for (Iterator<Map.Entry<CharSequence, CharSequence>> all = headers.iteratorCharSequence(); all.hasNext(); ) {
            Map.Entry<CharSequence, CharSequence> each = all.next();
            int once = index(ONCE, each.getKey());
            if (!visible(each.getValue(), ' ') || once >= 0 && (seen & 1 << once) != 0) {
                return null;
            }
            seen |= once < 0 ? 0 : 1 << once;
            if (once >= 0 || index(NOT_FORWARDED, each.getKey()) < 0) {
                forwarded.add(each.getKey(), each.getValue());
            }
        }
        String named = headers.get(REQUEST_CLASS, "");
        int requestClass = config.classNumber(named);
        long timeout = StrictHttpDecoders.digits(headers.get(HttpUpstream.REQUEST_TIMEOUT), 0);
        long hint = StrictHttpDecoders.digits(headers.get(WORK_HINT, "0"), -1);
        String id = headers.get(REQUEST_ID, "");
        int tenant = config.tenants().indexOf(headers.get(TENANT, ""));
        if (requestClass < 0
                || !named.equals(firstPart(uri))
                || timeout < 1
                || timeout > TIMEOUT_MS_MAX
                || hint < 0
                || !ClientRequest.isId(id)
                || headers.get(HttpHeaderNames.HOST, "").isEmpty()
                || tenant < 0 && !config.tenants().isEmpty()) {
            return null;
        }
        Balancer.Semantics semantics =
                config.settings().classes().get(requestClass).semantics();
        HttpMethod method = semantics == Balancer.Semantics.SAFE ? HttpMethod.GET : HttpMethod.POST;
        String repeat = headers.get(IDEMPOTENCY_KEY);
        // Guards against an effect twice: without its key no server would drop a repeat.
        boolean keyed = semantics == Balancer.Semantics.KEYED;
        if (!request.method().equals(method)
                || (keyed ? repeat == null || !ClientRequest.isId(repeat) : repeat != null)) {
            return null;
        }
        for (String option : headers.getAllAsString(HttpHeaderNames.CONNECTION)) {
            for (String name : option.split(",")) {
                if (index(ONCE, name.trim()) < 0) {
                    forwarded.remove(name.trim());
                }
            }
        }
        String key = headers.get(AFFINITY_KEY, "");
        return new ClientRequest(
                id,
                requestClass,
                Math.max(0, tenant),
                key.isEmpty() ? 0 : Config.id(key),
                hint,
                timeout,
                "1".equals(headers.get(CLIENT_RETRY)),
                new Outgoing(request.method(), uri, forwarded, HttpUpstream.NO_BODY));
    }

    /** The part of a path between its first slash and the next one or the question mark. */
    private static String firstPart(String uri) {
        int end = 1;
        while (end < uri.length() && uri.charAt(end) != '/' && uri.charAt(end) != '?') {
            end++;
        }
        return uri.substring(1, end);
    }

    private static int index(AsciiString[] names, CharSequence name) {
        for (int i = 0; i < names.length; i++) {
            if (names[i].length() == name.length() && names[i].contentEqualsIgnoreCase(name)) {
                return i;
            }
        }
        return -1;
    }

    /** Whether a text is of visible characters alone, and from this one on. */
    private static boolean visible(CharSequence text, char least) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if ((c < least || c > '~') && c != '\t') {
                return false;
            }
        }
        return true;
    }
}
