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

/** HTTP/1.1 for staff: one call a connection, a bound on connections, a time for a call that does not end. */
public abstract class OperatorHttpServer {
    private static final int MAX_BODY_BYTES = 1 << 10;

    /** An answer: its status, the type of its text, the text. */
    public record Reply(int status, String type, String text) {
        /** Plain text. */
        public static Reply plain(int status, String text) {
            return new Reply(status, "text/plain; charset=utf-8", text);
        }
    }

    private final Transport transport;
    private final InetSocketAddress listen;
    private final int maxConnections;
    private final long requestTimeoutMs;
    /** The oldest first. Each is removed when it closes: after its answer or its time, or for a newer one. */
    private final Set<Channel> open = new LinkedHashSet<>();

    private Channel server;

    /**
     * Listens to nobody yet.
     *
     * @param transport its loop and network
     * @param listen where
     * @param maxConnections open at the most; the oldest then ends, for its caller has had the most time
     * @param requestTimeoutMs a call not ended by then is cut off
     */
    protected OperatorHttpServer(
            Transport transport, InetSocketAddress listen, int maxConnections, long requestTimeoutMs) {
        this.transport = transport;
        this.listen = listen;
        this.maxConnections = maxConnections;
        this.requestTimeoutMs = requestTimeoutMs;
    }

    /** Answers a call that could be read; on the loop, at once or later. */
    protected abstract void handle(FullHttpRequest request, Consumer<Reply> answer);

    /** Begins to listen; the future tells whether it could. */
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
        server = bound.channel();
        return bound;
    }

    /** Where it listens. */
    public final InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Ends. */
    public final void close() {
        server.close();
        List.copyOf(open).forEach(Channel::close);
    }

    private void accept(Channel ch) {
        if (open.size() >= maxConnections) {
            open.iterator().next().close();
        }
        open.add(ch);
        var timeout = transport.loop().schedule(() -> ch.close(), requestTimeoutMs, TimeUnit.MILLISECONDS);
        ch.closeFuture().addListener(closed -> {
            open.remove(ch);
            timeout.cancel(false);
        });
        ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new RequestHandler());
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (answered) {
                return; // one call a connection
            }
            answered = true;
            Throwable decodeFailure = request.decoderResult().cause();
            if (decodeFailure instanceof TooLongHttpHeaderException
                    || decodeFailure instanceof TooLongHttpLineException) {
                answer(ctx, Reply.plain(431, "too long\n"));
            } else if (decodeFailure != null) {
                answer(ctx, Reply.plain(400, "not to be read\n"));
            } else {
                handle(request, reply -> answer(ctx, reply));
            }
        }

        private void answer(ChannelHandlerContext ctx, Reply reply) {
            byte[] body = reply.text().getBytes(StandardCharsets.UTF_8);
            var response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, reply.type())
                    .set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
