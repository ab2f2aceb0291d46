package gatefront.status;

import gatefront.budget.Budget;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Answers {@code GET /status} and {@code GET /status.json}, one request a connection. */
public final class StatusFront {
    /** More at once are closed: nobody needs them, and they take descriptors. */
    private static final int CONNECTIONS_MOST = 4;
    private static final long PATIENCE_MS = 2_000;

    private final Transport transport;
    private final InetSocketAddress listen;
    private final Budget budget;
    /** Each is removed when it closes, which it does after its answer or {@link #PATIENCE_MS}. */
    private final Set<Channel> open = new LinkedHashSet<>();
    private Channel server;

    /** Listens to nobody yet. */
    public StatusFront(Transport transport, InetSocketAddress listen, Budget budget) {
        this.transport = transport;
        this.listen = listen;
        this.budget = budget;
    }

    /** Begins to listen; the future tells whether it could. */
    public ChannelFuture listen() {
        ChannelFuture bound = new ServerBootstrap().group(transport.loop()).channelFactory(transport.listeners())
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel ch) {
                    accept(ch);
                }
            }).bind(listen);
        server = bound.channel();
        return bound;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Ends. */
    public void close() {
        server.close();
        List.copyOf(open).forEach(Channel::close);
    }

    private void accept(Channel ch) {
        if (open.size() >= CONNECTIONS_MOST) {
            ch.close();
            return;
        }
        open.add(ch);
        ch.closeFuture().addListener(closed -> open.remove(ch));
        transport.loop().schedule(() -> ch.close(), PATIENCE_MS, TimeUnit.MILLISECONDS);
        ch.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 10), new Page());
    }

    private final class Page extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            boolean json = request.uri().equals("/status.json");
            boolean known = request.method().equals(HttpMethod.GET) && (json || request.uri().equals("/status"))
                && request.decoderResult().isSuccess();
            String text = !known ? "there are /status and /status.json\n"
                : json ? StatusPage.json(budget, ProcessFigures.now()) + "\n"
                : StatusPage.text(budget, ProcessFigures.now());
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                known ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length).set(HttpHeaderNames.CONTENT_TYPE,
                json ? "application/json" : "text/plain; charset=utf-8").set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
