package gatefront.http;

import gatefront.budget.Budget;
import gatefront.config.Config;
import gatefront.connection.LoadReport;
import gatefront.connection.PooledUpstream;
import gatefront.engine.Payload;
import gatefront.http.codec.Decoders;
import gatefront.policy.Balancer.Outcome;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
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
    public record Outgoing(HttpMethod method, String uri, HttpHeaders headers, byte[] body) implements Payload { }

    /** A served answer: the body and what tells how to read it. */
    record Served(byte[] body, String contentType, String contentEncoding) implements Payload { }

    /** The status of an answer that blames the request. */
    record Rejection(HttpResponseStatus status) implements Payload { }

    public static final AsciiString REQUEST_TIMEOUT = AsciiString.cached("Request-Timeout-Ms");
    /** For headers that were checked when they came. */
    static final HttpHeadersFactory UNCHECKED = DefaultHttpHeadersFactory.headersFactory().withValidation(false);
    static final int BODY_MAX = 64 << 10;
    /** Of the answers that blame the request those that blame the moment: too slow, too early, too many. */
    private static final Set<Integer> MAY_SUCCEED_LATER = Set.of(408, 425, 429);
    public static final byte[] NO_BODY = new byte[0];

    private final LoadReport load;
    private final Outgoing probe;

    /** Holds so many connections at the most. */
    public HttpUpstream(Transport transport, Config config, int connectionsMost, Budget budget) {
        super(transport, connectionsMost, config.connectTimeoutMicros(), config.idleCloseMicros(), budget);
        load = new LoadReport(config.loadFields());
        probe = new Outgoing(HttpMethod.GET, config.loadByProbe() ? "/load" : "/healthz",
            new DefaultHttpHeaders(), NO_BODY);
    }

    @Override
    protected void init(Connection connection, ChannelPipeline pipeline) {
        Decoders.Responses decoder = new Decoders.Responses();
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
        var message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.uri,
            Unpooled.wrappedBuffer(request.body), headers, EmptyHttpHeaders.INSTANCE);
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(HttpHeaderNames.HOST, "backend");
        }
        if (!request.method.equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body.length);
        }
        if (millisLeft > 0) {
            headers.set(REQUEST_TIMEOUT, millisLeft);
        }
        return message;
    }

    /** The text of an answer's load report, or null. */
    private static String report(Attempt attempt, HttpHeaders headers, byte[] body) {
        String text = headers.get("Server-Load");
        boolean asked = ((Outgoing) attempt.request()).uri.equals("/load");
        return text == null && asked ? new String(body, StandardCharsets.US_ASCII) : text;
    }

    private final class Answers extends Reader {
        private final Decoders.Responses decoder;
        /** The answer that is coming in, or null; one with a status of 1xx goes ahead of the one awaited. */
        private HttpResponse head;
        private final ByteBuf body = Unpooled.buffer(0, BODY_MAX);

        Answers(Connection connection, Decoders.Responses decoder) {
            super(connection);
            this.decoder = decoder;
        }

        @Override
        protected boolean read(Attempt attempt, Object read) {
            HttpObject part = (HttpObject) read;
            if (part.decoderResult().isFailure() || part instanceof HttpResponse first && !begin(first)
                    || part instanceof HttpContent content && !add(content)) {
                return false;
            }
            if (part instanceof LastHttpContent) {
                HttpResponse whole = head;
                head = null;
                if (whole.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
                    finish(attempt, whole);
                }
            }
            return true;
        }

        /** Takes the head of an answer; false if it cannot end well. */
        private boolean begin(HttpResponse first) {
            head = first;
            int status = first.status().code();
            long length = Decoders.framing(first.headers());
            if (status < 200) {
                return status != 101; // nobody asked for another protocol
            }
            // Guards against a body cut short that nobody can tell from a whole one: only a length or chunks
            // end what is served. One that is too long is not waited for.
            return length == Decoders.CHUNKED || length == Decoders.NO_LENGTH && status != 200
                || length >= 0 && length <= BODY_MAX;
        }

        private boolean add(HttpContent content) {
            int n = content.content().readableBytes();
            if (body.readableBytes() + n > BODY_MAX || !hold(n)) {
                return false;
            }
            body.writeBytes(content.content());
            return true;
        }

        private void finish(Attempt attempt, HttpResponse whole) {
            byte[] bytes = ByteBufUtil.getBytes(body);
            body.clear().capacity(0);
            release();
            HttpHeaders headers = whole.headers();
            int status = whole.status().code();
            boolean turnedAway = (status == 503 || status == 504) && "1".equals(headers.get("Not-Started"));
            Outcome outcome = status == 200 ? Outcome.OK : turnedAway ? Outcome.FULL : Outcome.ERROR;
            Served served = status != 200 ? null : new Served(bytes,
                headers.get(HttpHeaderNames.CONTENT_TYPE), headers.get(HttpHeaderNames.CONTENT_ENCODING));
            Rejection bad = whole.status().codeClass() == HttpStatusClass.CLIENT_ERROR
                && !MAY_SUCCEED_LATER.contains(status) ? new Rejection(whole.status()) : null;
            boolean ends = Decoders.framing(headers) != Decoders.NO_LENGTH;
            attempt.end(new Result(outcome, load.read(report(attempt, headers, bytes)), served, bad),
                ends && HttpUtil.isKeepAlive(whole) && !decoder.leftover());
        }
    }
}
