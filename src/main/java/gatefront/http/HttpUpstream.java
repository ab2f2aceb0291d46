package gatefront.http;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.ChunkCollector;
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
import io.netty.channel.ChannelHandlerContext;
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
import java.util.concurrent.TimeUnit;

/**
 * Sends requests to servers over HTTP/1.1, one at a time on each connection, and derives results from the responses.
 */
public final class HttpUpstream extends PooledUpstream {
    /** A request to send; method, target and body are forwarded unchanged. */
    public record OutgoingRequest(
            HttpMethod method, String uri, HttpHeaders headers, byte[] body, BodyStream bodyStream, long length)
            implements Payload {
        /** Creates a request whose whole body is in memory. */
        public OutgoingRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
            this(method, uri, headers, body, null, body.length);
        }

        @Override
        public long bodyBytes() {
            return bodyStream == null ? body.length : bodyStream.transferredBytes();
        }
    }

    /** A served response: its body, in memory or streamed, the length (-1 if unknown), and its type and encoding. */
    record ServedResponse(byte[] body, BodyStream bodyStream, long length, String contentType, String contentEncoding)
            implements Payload {
        @Override
        public long bodyLength() {
            return length;
        }

        @Override
        public long bodyBytes() {
            return bodyStream == null ? body.length : bodyStream.transferredBytes();
        }
    }

    /** A response by which a server rejects the request itself as invalid. */
    record Rejection(HttpResponseStatus status) implements Payload {}

    /** Header that gives the time until the request's deadline, in milliseconds. */
    public static final AsciiString REQUEST_TIMEOUT = AsciiString.cached("Request-Timeout-Ms");
    /** Creates headers without validation, for values that were validated when they were received. */
    static final HttpHeadersFactory UNVALIDATED_HEADERS =
            DefaultHttpHeadersFactory.headersFactory().withValidation(false);

    /** Largest body that is buffered. */
    static final int MAX_BUFFERED_BODY_BYTES = 64 << 10;
    /** Largest body that is streamed. */
    static final long MAX_STREAMED_BODY_BYTES = 32L << 20;
    /** A response of unknown length that is still incomplete after this time is streamed. */
    private static final long STREAM_AFTER_MS = 200;
    /** 4xx statuses that do not mean an invalid request: request timeout, too early, too many requests. */
    private static final Set<Integer> RETRYABLE_CLIENT_ERRORS = Set.of(408, 425, 429);

    public static final byte[] NO_BODY = new byte[0];

    private final Transport transport;
    private final LoadReportParser loadReportParser;
    private final OutgoingRequest probe;

    /** Creates an upstream without connections. */
    public HttpUpstream(Transport transport, Config config, int maxConnections, ResourceBudget budget) {
        super(transport, maxConnections, config.connectTimeoutMicros(), config.idleCloseMicros(), budget);
        this.transport = transport;
        loadReportParser = new LoadReportParser(config.loadFields());
        probe = new OutgoingRequest(
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
        OutgoingRequest request = (OutgoingRequest) payload;
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
        } else if (request.bodyStream != null) {
            headers.set(REQUEST_TIMEOUT, clientMillisLeft(request));
        }
        return message;
    }

    /** Returns for how long the client of a streamed request may wait from now on, at least 1 ms. */
    private long clientMillisLeft(OutgoingRequest request) {
        long timeoutMs = StrictHttpDecoders.parseDigits(request.headers.get(REQUEST_TIMEOUT), 0);
        long waitedNanos = transport.nanos() - request.bodyStream.mayBeSentSinceNanos();
        return Math.max(1, timeoutMs - TimeUnit.NANOSECONDS.toMillis(waitedNanos));
    }

    @Override
    protected Object bodyChunk(ByteBuf chunk) {
        return new DefaultHttpContent(chunk);
    }

    @Override
    protected Object bodyEnd() {
        return LastHttpContent.EMPTY_LAST_CONTENT;
    }

    /** Returns the text of a response's load report, or null. */
    private static String loadReportText(Attempt attempt, HttpHeaders headers, byte[] body) {
        String text = headers.get("Server-Load");
        boolean loadProbe = ((OutgoingRequest) attempt.request()).uri.equals("/load");
        return text == null && loadProbe ? new String(body, StandardCharsets.US_ASCII) : text;
    }

    private final class ResponseReader extends Reader {
        private final StrictHttpDecoders.Responses decoder;
        /** The head of the response that is being received, or null; may be an interim (1xx) response. */
        private HttpResponse head;

        private final ByteBuf body = Unpooled.buffer(0, MAX_BUFFERED_BODY_BYTES);
        /** The stream that the body is written to, or null while it is buffered. */
        private BodyStream stream;

        private long streamedBytes;
        private final ChunkCollector collector = new ChunkCollector(this::passOn);

        ResponseReader(Connection connection, StrictHttpDecoders.Responses decoder) {
            super(connection);
            this.decoder = decoder;
        }

        private void passOn(ByteBuf chunk) {
            if (stream == null) {
                chunk.release();
            } else if (!stream.write(chunk)) {
                setReading(!stream.isPaused());
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            collector.flush();
            ctx.fireChannelReadComplete();
        }

        @Override
        protected boolean read(Attempt attempt, Object message) {
            HttpObject httpObject = (HttpObject) message;
            if (httpObject.decoderResult().isFailure()
                    || httpObject instanceof HttpResponse response && !beginResponse(attempt, response)
                    || httpObject instanceof HttpContent content && !addBody(attempt, content)) {
                return false;
            }
            if (httpObject instanceof LastHttpContent) {
                HttpResponse response = head;
                head = null;
                if (connectionReset && StrictHttpDecoders.framing(response.headers()) == StrictHttpDecoders.NO_LENGTH) {
                    return false; // the body ends with the connection, but this end is a reset
                }
                if (response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                    finishResponse(attempt, response);
                }
            }
            return true;
        }

        /** Handles the head of a response; returns false if it is unacceptable. */
        private boolean beginResponse(Attempt attempt, HttpResponse response) {
            head = response;
            int status = response.status().code();
            long length = StrictHttpDecoders.framing(response.headers());
            if (status < 200) {
                return status != 101; // no protocol upgrade was requested
            }
            attempt.responseStarted();
            // Guards against receiving a body that cannot be used: one that is too long is rejected at once.
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

        @Override
        protected void streamBegunResponse(Attempt attempt) {
            if (head != null
                    && stream == null
                    && head.status().code() == 200
                    && StrictHttpDecoders.framing(head.headers()) < 0) {
                beginStreaming(attempt);
            }
        }

        private boolean addBody(Attempt attempt, HttpContent content) {
            int length = content.content().readableBytes();
            if (stream == null && body.readableBytes() + length > MAX_BUFFERED_BODY_BYTES) {
                if (head.status().code() != 200) {
                    return false;
                }
                beginStreaming(attempt);
            }
            if (stream != null) {
                streamedBytes += length;
                attempt.recordProgress();
                if (streamedBytes > MAX_STREAMED_BODY_BYTES) {
                    return false;
                }
                collector.add(content.content());
                return true;
            }
            if (!reserve(length)) {
                return false;
            }
            body.writeBytes(content.content());
            return true;
        }

        /** Streams the response to the client from now on; the request cannot be retried afterwards. */
        private void beginStreaming(Attempt attempt) {
            BodyStream newStream = new BodyStream(
                    new BodyStream.Producer() {
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

                        @Override
                        public long mayBeSentSinceNanos() {
                            return transport.nanos(); // a response has no deadline
                        }
                    },
                    responseWindow());
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
            byte[] bodyBytes = ByteBufUtil.getBytes(body);
            body.clear().capacity(0);
            release();
            HttpHeaders headers = response.headers();
            int status = response.status().code();
            boolean notStarted = (status == 503 || status == 504) && "1".equals(headers.get("Not-Started"));
            Outcome outcome = status == 200 ? Outcome.OK : notStarted ? Outcome.FULL : Outcome.ERROR;
            collector.flush();
            BodyStream finishedStream = stream;
            stream = null;
            if (finishedStream != null) {
                setReading(true);
                finishedStream.complete();
            }
            ServedResponse served = status != 200 || finishedStream != null
                    ? null
                    : new ServedResponse(
                            bodyBytes,
                            null,
                            bodyBytes.length,
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
                            loadReportParser.parse(loadReportText(attempt, headers, bodyBytes)),
                            served,
                            rejection),
                    delimited && HttpUtil.isKeepAlive(response) && !decoder.hasLeftover());
        }
    }
}
