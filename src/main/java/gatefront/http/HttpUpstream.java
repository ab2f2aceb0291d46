package gatefront.http;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.LoadReportParser;
import gatefront.connection.PooledUpstream;
import gatefront.engine.BodyStream;
import gatefront.engine.Payload;
import gatefront.http.codec.StrictHttpDecoders;
import gatefront.policy.Balancer.Outcome;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/** The servers over HTTP/1.1: a request a connection at a time, and what its answer says of it. */
public final class HttpUpstream extends PooledUpstream {
    /** What is sent: method, target and body go on as they came. */
    public record Outgoing(
            HttpMethod method, String uri, HttpHeaders headers, byte[] body, BodyStream flow, long length)
            implements Payload {
        /** With a body that is here whole. */
        public Outgoing(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
            this(method, uri, headers, body, null, body.length);
        }

        @Override
        public long bytes() {
            return flow == null ? body.length : flow.passed();
        }
    }

    /** A served answer: the body, whole or in pieces, its length if known, and what tells how to read it. */
    record Served(byte[] body, BodyStream flow, long length, String contentType, String contentEncoding)
            implements Payload {
        @Override
        public long bytes() {
            return flow == null ? body.length : flow.passed();
        }
    }

    /** The status of an answer that blames the request. */
    record Rejection(HttpResponseStatus status) implements Payload {}

    public static final AsciiString REQUEST_TIMEOUT = AsciiString.cached("Request-Timeout-Ms");
    /** For headers that were checked when they came. */
    static final HttpHeadersFactory UNCHECKED =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    static final int BODY_MAX = 64 << 10;
    /** What is longer passes in pieces, up to this. */
    static final long LARGE_MAX = 32L << 20;
    /** An answer of unknown length that is not whole so long after its first bytes is passed on as it comes. */
    private static final long WHOLE_MS = 200;
    /** Of the answers that blame the request those that blame the moment: too slow, too early, too many. */
    private static final Set<Integer> MAY_SUCCEED_LATER = Set.of(408, 425, 429);

    public static final byte[] NO_BODY = new byte[0];

    private final LoadReportParser load;
    private final Outgoing probe;

    /** Holds so many connections at the most. */
    public HttpUpstream(Transport transport, Config config, int connectionsMost, ResourceBudget budget) {
        super(transport, connectionsMost, config.connectTimeoutMicros(), config.idleCloseMicros(), budget);
        load = new LoadReportParser(config.loadFields());
        probe = new Outgoing(
                HttpMethod.GET, config.loadByProbe() ? "/load" : "/healthz", new DefaultHttpHeaders(), NO_BODY);
    }

    @Override
    protected void init(Connection connection, ChannelPipeline pipeline) {
        StrictHttpDecoders.Responses decoder = new StrictHttpDecoders.Responses();
        pipeline.addLast(decoder, new HttpRequestEncoder(), new Answers(connection, decoder));
    }

    @Override
    protected Payload probe() {
        return probe;
    }

    @Override
    protected Object message(Payload payload, int number, long millisLeft) {
        Outgoing request = (Outgoing) payload;
        HttpHeaders headers = UNCHECKED.newHeaders().set(request.headers);
        HttpRequest message = request.flow != null
                ? new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri, headers)
                : new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method,
                        request.uri,
                        Unpooled.wrappedBuffer(request.body),
                        headers,
                        EmptyHttpHeaders.INSTANCE);
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(HttpHeaderNames.HOST, "backend");
        }
        if (request.length < 0) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        } else if (!request.method.equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.length);
        }
        if (millisLeft > 0) {
            headers.set(REQUEST_TIMEOUT, millisLeft);
        }
        return message;
    }

    @Override
    protected Object part(ByteBuf piece) {
        return new DefaultHttpContent(piece);
    }

    @Override
    protected Object lastPart() {
        return LastHttpContent.EMPTY_LAST_CONTENT;
    }

    /** The text of an answer's load report, or null. */
    private static String report(Attempt attempt, HttpHeaders headers, byte[] body) {
        String text = headers.get("Server-Load");
        boolean asked = ((Outgoing) attempt.request()).uri.equals("/load");
        return text == null && asked ? new String(body, StandardCharsets.US_ASCII) : text;
    }

    private final class Answers extends Reader {
        private final StrictHttpDecoders.Responses decoder;
        /** The answer that is coming in, or null; one with a status of 1xx goes ahead of the one awaited. */
        private HttpResponse head;

        private final ByteBuf body = Unpooled.buffer(0, BODY_MAX);
        /** Where the body goes that is passed on in pieces, or null; and how much of it has come. */
        private BodyStream flow;

        private long passed;

        Answers(Connection connection, StrictHttpDecoders.Responses decoder) {
            super(connection);
            this.decoder = decoder;
        }

        @Override
        protected boolean read(Attempt attempt, Object read) {
            HttpObject part = (HttpObject) read;
            if (part.decoderResult().isFailure()
                    || part instanceof HttpResponse first && !begin(attempt, first)
                    || part instanceof HttpContent content && !add(attempt, content)) {
                return false;
            }
            if (part instanceof LastHttpContent) {
                HttpResponse whole = head;
                head = null;
                if (broke && StrictHttpDecoders.framing(whole.headers()) == StrictHttpDecoders.NO_LENGTH) {
                    return false; // reset in the middle: its end is not the body's
                }
                if (whole.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                    finish(attempt, whole);
                }
            }
            return true;
        }

        /** Takes the head of an answer; false if it cannot end well. */
        private boolean begin(Attempt attempt, HttpResponse first) {
            head = first;
            int status = first.status().code();
            long length = StrictHttpDecoders.framing(first.headers());
            if (status < 200) {
                return status != 101; // nobody asked for another protocol
            }
            attempt.answering();
            // Guards against a body that nobody will read: one that is too long is not waited for.
            boolean may = length == StrictHttpDecoders.CHUNKED
                    || length == StrictHttpDecoders.NO_LENGTH
                    || length >= 0 && length <= (status == 200 ? LARGE_MAX : BODY_MAX);
            if (may && status == 200 && length > BODY_MAX) {
                pass(attempt);
            } else if (may && status == 200 && length < 0) {
                passUnlessWhole(attempt, first);
            }
            return may;
        }

        private void passUnlessWhole(Attempt attempt, HttpResponse first) {
            later(attempt, WHOLE_MS, () -> {
                if (head == first && flow == null && body.isReadable()) {
                    pass(attempt);
                } else if (head == first && flow == null) {
                    passUnlessWhole(attempt, first);
                }
            });
        }

        private boolean add(Attempt attempt, HttpContent content) {
            int n = content.content().readableBytes();
            if (flow == null && body.readableBytes() + n > BODY_MAX) {
                if (head.status().code() != 200) {
                    return false;
                }
                pass(attempt);
            }
            if (flow != null) {
                passed += n;
                attempt.progress();
                if (passed > LARGE_MAX) {
                    return false;
                }
                if (n > 0 && !flow.give(content.content().retain())) {
                    reading(!flow.isStopped());
                }
                return true;
            }
            if (!hold(n)) {
                return false;
            }
            body.writeBytes(content.content());
            return true;
        }

        /** From now on the answer goes to the caller as it comes; an attempt at it is the last. */
        private void pass(Attempt attempt) {
            BodyStream pieces = new BodyStream(new BodyStream.Giver() {
                @Override
                public void passed(int bytes) {}

                @Override
                public void more() {
                    reading(true);
                }

                @Override
                public void unwanted() {
                    attempt.cancel();
                }
            });
            flow = pieces;
            ByteBuf come = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body));
            body.clear().capacity(0);
            release();
            passed = come.readableBytes();
            long length = StrictHttpDecoders.framing(head.headers());
            attempt.begun(
                    new Served(
                            NO_BODY,
                            pieces,
                            length < 0 ? -1 : length,
                            head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                            head.headers().get(HttpHeaderNames.CONTENT_ENCODING)),
                    pieces);
            if (come.isReadable()) {
                pieces.give(come);
            }
        }

        private void finish(Attempt attempt, HttpResponse whole) {
            byte[] bytes = ByteBufUtil.getBytes(body);
            body.clear().capacity(0);
            release();
            HttpHeaders headers = whole.headers();
            int status = whole.status().code();
            boolean turnedAway = (status == 503 || status == 504) && "1".equals(headers.get("Not-Started"));
            Outcome outcome = status == 200 ? Outcome.OK : turnedAway ? Outcome.FULL : Outcome.ERROR;
            BodyStream pieces = flow;
            flow = null;
            if (pieces != null) {
                reading(true);
                pieces.end();
            }
            Served served = status != 200 || pieces != null
                    ? null
                    : new Served(
                            bytes,
                            null,
                            bytes.length,
                            headers.get(HttpHeaderNames.CONTENT_TYPE),
                            headers.get(HttpHeaderNames.CONTENT_ENCODING));
            Rejection bad =
                    whole.status().codeClass() == HttpStatusClass.CLIENT_ERROR && !MAY_SUCCEED_LATER.contains(status)
                            ? new Rejection(whole.status())
                            : null;
            boolean ends = StrictHttpDecoders.framing(headers) != StrictHttpDecoders.NO_LENGTH;
            attempt.end(
                    new Result(outcome, load.read(report(attempt, headers, bytes)), served, bad),
                    ends && HttpUtil.isKeepAlive(whole) && !decoder.leftover());
        }
    }
}
