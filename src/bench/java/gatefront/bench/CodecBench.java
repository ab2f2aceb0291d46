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

/**
 * Measures the HTTP decoders and encoders in an embedded channel. The cost of the channel itself is included in all four
 * figures.
 */
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
    private static final byte[] RESPONSE = ("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 64\r\n\r\n"
                    + "x".repeat(64))
            .getBytes(StandardCharsets.US_ASCII);

    private final EmbeddedChannel inboundRequests = channel(new StrictHttpDecoders.Requests());
    private final EmbeddedChannel outboundResponses = channel(new HttpResponseEncoder());
    private final EmbeddedChannel outboundRequests = channel(new HttpRequestEncoder());
    private final EmbeddedChannel inboundResponses = channel(new StrictHttpDecoders.Responses());

    private static EmbeddedChannel channel(ChannelHandler handler) {
        return new EmbeddedChannel(handler);
    }

    private static ByteBuf bytes(byte[] content) {
        return PooledByteBufAllocator.DEFAULT.directBuffer(content.length).writeBytes(content);
    }

    private static int releaseMessages(EmbeddedChannel channel, boolean inbound) {
        int count = 0;
        for (Object message = inbound ? channel.readInbound() : channel.readOutbound();
                message != null;
                message = inbound ? channel.readInbound() : channel.readOutbound()) {
            ReferenceCountUtil.release(message);
            count++;
        }
        return count;
    }

    /** Decodes a request of a client. */
    @Benchmark
    public int requestDecoded() {
        inboundRequests.writeInbound(bytes(REQUEST));
        return releaseMessages(inboundRequests, true);
    }

    /** Encodes a request to a server. */
    @Benchmark
    public int requestEncoded() {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/lookup?q=1");
        request.headers()
                .set("Host", "origin.svc")
                .set("Request-Id", "b123456")
                .set("Request-Class", "lookup")
                .set("Request-Timeout-Ms", "8000");
        outboundRequests.writeOutbound(request);
        return releaseMessages(outboundRequests, false);
    }

    /** Decodes a response of a server. */
    @Benchmark
    public int responseDecoded() {
        inboundResponses.writeInbound(bytes(RESPONSE));
        return releaseMessages(inboundResponses, true);
    }

    /** Encodes a response to a client. */
    @Benchmark
    public int responseEncoded() {
        var response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.OK, bytes(RESPONSE).writerIndex(64));
        response.headers().set("Content-Type", "text/plain").set("Content-Length", 64);
        outboundResponses.writeOutbound(response);
        return releaseMessages(outboundResponses, false);
    }
}
