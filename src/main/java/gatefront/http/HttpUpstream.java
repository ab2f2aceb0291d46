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
            HttpMethod method, String uri, HttpHeaders headers, byte[] body, BodyStream bodyStream, long length)
            implements Payload {
        /** With a body that is here whole. */
        public Outgoing(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
            this(method, uri, headers, body, null, body.length);
        }

        @Override
        public long bodyBytes() {
            return bodyStream == null ? body.length : bodyStream.transferredBytes();
        }
    }

    /** A served answer: the body, whole or in pieces, its length if known, and what tells how to read it. */
    record ServedResponse(byte[] body, BodyStream bodyStream, long length, String contentType, String contentEncoding)
            implements Payload {
        @Override
        public long bodyBytes() {
            return bodyStream == null ? body.length : bodyStream.transferredBytes();
        }
    }

    /** The status of an answer that blames the request. */
    record Rejection(HttpResponseStatus status) implements Payload {}

    public static final AsciiString REQUEST_TIMEOUT = AsciiString.cached("Request-Timeout-Ms");
    /** For headers that were checked when they came. */
    static final HttpHeadersFactory UNVALIDATED_HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    static final int MAX_BUFFERED_BODY_BYTES = 64 << 10;
    /** What is longer passes in pieces, up to this. */
    static final long MAX_STREAMED_BODY_BYTES = 32L << 20;
    /** An answer of unknown length that is not whole so long after its first bytes is passed on as it comes. */
    private static final long STREAM_AFTER_MS = 200;
    /** Of the answers that blame the request those that blame the moment: too slow, too early, too many. */
    private static final Set<Integer> RETRYABLE_CLIENT_ERRORS = Set.of(408, 425, 429);

    public static final byte[] NO_BODY = new byte[0];

    private final LoadReportParser loadReportParser;
    private final Outgoing probe;

    /** Holds so many connections at the most. */
    public HttpUpstream(Transport transport, Config config, int maxConnections, ResourceBudget budget) {
        super(transport, maxConnections, config.connectTimeoutMicros(), config.idleCloseMicros(), budget);
        loadReportParser = new LoadReportParser(config.loadFields());
        probe = new Outgoing(
                HttpMethod.GET, config.loadByProbe() ? "/load" : "/healthz", new DefaultHttpHeaders(), NO_BODY);
    }

    @Override
    protected void initPipeline(Connection connection, ChannelPipeline pipeline) {
        StrictHttpDecoders.Responses decoder = new StrictHttpDecoders.Responses();
        pipeline.addLast(decoder, new HttpRequestEncoder(), new ResponseReader(connection, decoder));
    }

    @Override
    protected Payload probe() {
        return probe;
    }

    @Override
    protected Object requestMessage(Payload payload, int attemptNumber, long millisLeft) {
        Outgoing request = (Outgoing) payload;
        HttpHeaders headers = UNVALIDATED_HEADERS.newHeaders().set(request.headers);
        HttpRequest message = request.bodyStream != null
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
    protected Object bodyChunk(ByteBuf chunk) {
        return new DefaultHttpContent(chunk);
    }

    @Override
    protected Object bodyEnd() {
        return LastHttpContent.EMPTY_LAST_CONTENT;
    }

    /** The text of an answer's load report, or null. */
    private static String loadReportText(Attempt attempt, HttpHeaders headers, byte[] body) {
        String text = headers.get("Server-Load");
        boolean loadProbe = ((Outgoing) attempt.request()).uri.equals("/load");
        return text == null && loadProbe ? new String(body, StandardCharsets.US_ASCII) : text;
    }

    private final class ResponseReader extends Reader {
        private final StrictHttpDecoders.Responses decoder;
        /** The answer that is coming in, or null; one with a status of 1xx goes ahead of the one awaited. */
        private HttpResponse head;

        private final ByteBuf body = Unpooled.buffer(0, MAX_BUFFERED_BODY_BYTES);
        /** Where the body goes that is passed on in pieces, or null; and how much of it has come. */
        private BodyStream stream;

        private long streamedBytes;

        ResponseReader(Connection connection, StrictHttpDecoders.Responses decoder) {
            super(connection);
            this.decoder = decoder;
        }

        @Override
        protected boolean read(Attempt attempt, Object message) {
            HttpObject httpObject = (HttpObject) message;
            if (httpObject.decoderResult().isFailure()
                    || httpObject instanceof HttpResponse first && !beginResponse(attempt, first)
                    || httpObject instanceof HttpContent content && !addBody(attempt, content)) {
                return false;
            }
            if (httpObject instanceof LastHttpContent) {
                HttpResponse response = head;
                head = null;
                if (connectionReset && StrictHttpDecoders.framing(response.headers()) == StrictHttpDecoders.NO_LENGTH) {
                    return false; // reset in the middle: its end is not the body's
                }
                if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                    finishResponse(attempt, response);
                }
            }
            return true;
        }

        /** Takes the head of an answer; false if it cannot end well. */
        private boolean beginResponse(Attempt attempt, HttpResponse response) {
            head = response;
            int status = response.status().code();
            long length = StrictHttpDecoders.framing(response.headers());
            if (status < 200) {
                return status != 101; // nobody asked for another protocol
            }
            attempt.responseStarted();
            // Guards against a body that nobody will read: one that is too long is not waited for.
            boolean acceptable = length == StrictHttpDecoders.CHUNKED
                    || length == StrictHttpDecoders.NO_LENGTH
                    || length >= 0 && length <= (status == 200 ? MAX_STREAMED_BODY_BYTES : MAX_BUFFERED_BODY_BYTES);
            if (acceptable && status == 200 && length > MAX_BUFFERED_BODY_BYTES) {
                beginStreaming(attempt);
            } else if (acceptable && status == 200 && length < 0) {
                scheduleStreaming(attempt, response);
            }
            return acceptable;
        }

        private void scheduleStreaming(Attempt attempt, HttpResponse response) {
            runAfter(attempt, STREAM_AFTER_MS, () -> {
                if (head == response && stream == null && body.isReadable()) {
                    beginStreaming(attempt);
                } else if (head == response && stream == null) {
                    scheduleStreaming(attempt, response);
                }
            });
        }

        private boolean addBody(Attempt attempt, HttpContent content) {
            int n = content.content().readableBytes();
            if (stream == null && body.readableBytes() + n > MAX_BUFFERED_BODY_BYTES) {
                if (head.status().code() != 200) {
                    return false;
                }
                beginStreaming(attempt);
            }
            if (stream != null) {
                streamedBytes += n;
                attempt.recordProgress();
                if (streamedBytes > MAX_STREAMED_BODY_BYTES) {
                    return false;
                }
                if (n > 0 && !stream.write(content.content().retain())) {
                    setReading(!stream.isPaused());
                }
                return true;
            }
            if (!reserve(n)) {
                return false;
            }
            body.writeBytes(content.content());
            return true;
        }

        /** From now on the answer goes to the caller as it comes; an attempt at it is the last. */
        private void beginStreaming(Attempt attempt) {
            BodyStream newStream = new BodyStream(new BodyStream.Producer() {
                @Override
                public void onConsumed(int bytes) {}

                @Override
                public void onResume() {
                    setReading(true);
                }

                @Override
                public void onCancel() {
                    attempt.cancel();
                }
            });
            stream = newStream;
            ByteBuf received = Unpooled.wrappedBuffer(ByteBufUtil.getBytes(body));
            body.clear().capacity(0);
            release();
            streamedBytes = received.readableBytes();
            long length = StrictHttpDecoders.framing(head.headers());
            attempt.startStreaming(
                    new ServedResponse(
                            NO_BODY,
                            newStream,
                            length < 0 ? -1 : length,
                            head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                            head.headers().get(HttpHeaderNames.CONTENT_ENCODING)),
                    newStream);
            if (received.isReadable()) {
                newStream.write(received);
            }
        }

        private void finishResponse(Attempt attempt, HttpResponse response) {
            byte[] bytes = ByteBufUtil.getBytes(body);
            body.clear().capacity(0);
            release();
            HttpHeaders headers = response.headers();
            int status = response.status().code();
            boolean notStarted = (status == 503 || status == 504) && "1".equals(headers.get("Not-Started"));
            Outcome outcome = status == 200 ? Outcome.OK : notStarted ? Outcome.FULL : Outcome.ERROR;
            BodyStream finishedStream = stream;
            stream = null;
            if (finishedStream != null) {
                setReading(true);
                finishedStream.complete();
            }
            ServedResponse served = status != 200 || finishedStream != null
                    ? null
                    : new ServedResponse(
                            bytes,
                            null,
                            bytes.length,
                            headers.get(HttpHeaderNames.CONTENT_TYPE),
                            headers.get(HttpHeaderNames.CONTENT_ENCODING));
            Rejection rejection = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR
                            && !RETRYABLE_CLIENT_ERRORS.contains(status)
                    ? new Rejection(response.status())
                    : null;
            boolean delimited = StrictHttpDecoders.framing(headers) != StrictHttpDecoders.NO_LENGTH;
            attempt.end(
                    new Result(
                            outcome,
                            loadReportParser.parse(loadReportText(attempt, headers, bytes)),
                            served,
                            rejection),
                    delimited && HttpUtil.isKeepAlive(response) && !decoder.hasLeftover());
        }
    }
}
