package gatefront.http;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.PooledUpstream;
import gatefront.connection.UpstreamContract;
import gatefront.engine.Payload;
import gatefront.transport.Transport;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

/** Runs the upstream contract over HTTP/1.1. */
class HttpUpstreamTest extends UpstreamContract {
    @Override
    protected PooledUpstream createUpstream(Transport transport, int port) {
        return new HttpUpstream(
                transport,
                Config.read(Path.of("src/test/resources/config.json")),
                50,
                new ResourceBudget(1 << 24, Map.of()));
    }

    @Override
    protected Payload newRequest() {
        return new HttpUpstream.OutgoingRequest(
                HttpMethod.POST, "/order?q=1", new DefaultHttpHeaders(), "cuerpo".getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    protected void addServerDecoder(ChannelPipeline pipeline) {
        pipeline.addLast(new HttpRequestDecoder(), new HttpObjectAggregator(1 << 16));
    }

    @Override
    protected byte[] responseBytes(Object request) {
        return "HTTP/1.1 200 OK\r\nServer-Load: inflight=1,queue=0\r\nContent-Length: 5\r\n\r\nhecho"
                .getBytes(StandardCharsets.US_ASCII);
    }
}
