package gatefront.status;

import gatefront.transport.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** HTTP/1.1 server for operators: one request a connection, with limits on connections and on the time of a request. */
public abstract class OperatorHttpServer {
    private static final int MAX_BODY_BYTES = 1 << 10;

    /**
     * A response.
     *
     * @param status HTTP status code
     * @param type content type
     * @param text body
     */
    public record Response(int status, String type, String text) {
        /** Creates a plain-text response. */
        public static Response plain(int status, String text) {
            return new Response(status, "text/plain; charset=utf-8", text);
        }
    }

    private final Transport transport;
    private final InetSocketAddress listen;
    private final int maxConnections;
    private final long requestTimeoutMs;
    /** Open connections, oldest first. Each is closed after its response, on timeout, or to admit a newer one. */
    private final Set<Channel> openConnections = new LinkedHashSet<>();

    private Channel serverChannel;

    /**
     * Creates a server that does not listen until {@link #listen()} is called.
     *
     * @param transport loop and network
     * @param listen address to listen on
     * @param maxConnections maximum open connections; beyond it the oldest is closed, as it has had the most time
     * @param requestTimeoutMs time after which a connection is closed even without a response
     */
    protected OperatorHttpServer(
            Transport transport, InetSocketAddress listen, int maxConnections, long requestTimeoutMs) {
        this.transport = transport;
        this.listen = listen;
        this.maxConnections = maxConnections;
        this.requestTimeoutMs = requestTimeoutMs;
    }

    /** Handles a well-formed request; the response may be given at once or later, on the loop. */
    protected abstract void handle(FullHttpRequest request, Consumer<Response> responder);

    /** Starts listening; the future reports success or failure. */
    public final ChannelFuture listen() {
        ChannelFuture bound = new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport.serverChannels())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        accept(ch);
                    }
                })
                .bind(listen);
        serverChannel = bound.channel();
        return bound;
    }

    /** Returns the address on which the server listens. */
    public final InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Closes the listener and all connections. */
    public final void close() {
        serverChannel.close();
        List.copyOf(openConnections).forEach(Channel::close);
    }

    private void accept(Channel ch) {
        if (openConnections.size() >= maxConnections) {
            closeAfterReading(openConnections.iterator().next());
        }
        openConnections.add(ch);
        var timeout = transport.loop().schedule(() -> closeAfterReading(ch), requestTimeoutMs, TimeUnit.MILLISECONDS);
        ch.closeFuture().addListener(closed -> {
            openConnections.remove(ch);
            timeout.cancel(false);
        });
        ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new RequestHandler());
    }

    /** Closes a connection; a request that arrived while the loop was held up is handled first. */
    private void closeAfterReading(Channel ch) {
        transport.readArrivedInput(ch);
        ch.close();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (answered) {
                return; // one request a connection
            }
            answered = true;
            Throwable decodeFailure = request.decoderResult().cause();
            if (decodeFailure instanceof TooLongHttpHeaderException
                    || decodeFailure instanceof TooLongHttpLineException) {
                respond(ctx, Response.plain(431, "too long\n"));
            } else if (decodeFailure != null) {
                respond(ctx, Response.plain(400, "not to be read\n"));
            } else {
                handle(request, reply -> respond(ctx, reply));
            }
        }

        private void respond(ChannelHandlerContext ctx, Response response) {
            byte[] body = response.text().getBytes(StandardCharsets.UTF_8);
            var httpResponse = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(body));
            httpResponse
                    .headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, response.type())
                    .set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(httpResponse).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
