package gatefront.bench;

import gatefront.http.codec.StrictHttpDecoders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Each decoder and encoder of HTTP, in an embedded channel, whose own cost is in all four alike. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 4, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class CodecBench {
    private static final byte[] REQUEST = ("GET /lookup?q=1 HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: b123456\r\n"
                    + "Request-Class: lookup\r\nRequest-Timeout-Ms: 8000\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    private static final byte[] ANSWER = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n"
                    + "x".repeat(64))
            .getBytes(StandardCharsets.US_ASCII);

    private final EmbeddedChannel requestsIn = channel(new StrictHttpDecoders.Requests());
    private final EmbeddedChannel answersOut = channel(new HttpResponseEncoder());
    private final EmbeddedChannel requestsOut = channel(new HttpRequestEncoder());
    private final EmbeddedChannel answersIn = channel(new StrictHttpDecoders.Responses());

    private static EmbeddedChannel channel(ChannelHandler handler) {
        return new EmbeddedChannel(handler);
    }

    private static ByteBuf bytes(byte[] from) {
        return PooledByteBufAllocator.DEFAULT.directBuffer(from.length).writeBytes(from);
    }

    private static int drain(EmbeddedChannel channel, boolean in) {
        int parts = 0;
        for (Object each = in ? channel.readInbound() : channel.readOutbound();
                each != null;
                each = in ? channel.readInbound() : channel.readOutbound()) {
            ReferenceCountUtil.release(each);
            parts++;
        }
        return parts;
    }

    /** A request of a caller. */
    @Benchmark
    public int requestDecoded() {
        requestsIn.writeInbound(bytes(REQUEST));
        return drain(requestsIn, true);
    }

    /** A request to a server. */
    @Benchmark
    public int requestEncoded() {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/lookup?q=1");
        request.headers()
                .set("Host", "origin.svc")
                .set("Request-Id", "b123456")
                .set("Request-Class", "lookup")
                .set("Request-Timeout-Ms", "8000");
        requestsOut.writeOutbound(request);
        return drain(requestsOut, false);
    }

    /** A server's answer. */
    @Benchmark
    public int answerDecoded() {
        answersIn.writeInbound(bytes(ANSWER));
        return drain(answersIn, true);
    }

    /** An answer to a caller. */
    @Benchmark
    public int answerEncoded() {
        var response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, bytes(ANSWER).writerIndex(64));
        response.headers().set("Content-Type", "text/plain").set("Content-Length", 64);
        answersOut.writeOutbound(response);
        return drain(answersOut, false);
    }
}
