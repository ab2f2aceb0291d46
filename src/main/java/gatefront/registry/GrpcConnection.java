package gatefront.registry;

import gatefront.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * One connection that carries gRPC calls (gRPC over HTTP/2, as the protocol's own description has it), without
 * generated code: messages are bytes. All on the transport's loop; owner of its streams, which end with it.
 */
final class GrpcConnection {
    /** Statuses that mean something here. */
    static final int OK = 0;

    static final int UNKNOWN = 2;
    static final int RESOURCE_EXHAUSTED = 8;
    static final int UNAVAILABLE = 14;
    static final int UNAUTHENTICATED = 16;

    private static final int DIAL_MS = 2_000;
    private static final int WINDOW = 1 << 20;
    private static final int PREFIX = 5;

    /** What comes of a call. */
    interface Listener {
        /** A message. */
        void message(byte[] message);

        /** Its end, once. */
        void ended(int status, String why);
    }

    private final int messageMost;
    private final String authority;
    private final Channel channel;
    private boolean up;
    private boolean closed;
    private final List<Runnable> waiting = new ArrayList<>();

    /** Dials; calls wait until it is up. */
    GrpcConnection(Transport transport, InetSocketAddress to, int messageMost) {
        this.messageMost = messageMost;
        this.authority = to.getAddress().getHostAddress() + ":" + to.getPort();
        ChannelFuture connecting = new Bootstrap()
                .group(transport.loop())
                .channelFactory(transport.clientChannels())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DIAL_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .disableResolver()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        Http2FrameCodecBuilder.forClient()
                                                .initialSettings(Http2Settings.defaultSettings()
                                                        .pushEnabled(false)
                                                        .initialWindowSize(WINDOW)
                                                        .maxHeaderListSize(16 << 10))
                                                .build(),
                                        new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()),
                                        new Broken());
                    }
                })
                .connect(to);
        channel = connecting.channel();
        connecting.addListener(done -> {
            up = done.isSuccess();
            closed |= !up;
            List.copyOf(waiting).forEach(Runnable::run);
            waiting.clear();
        });
        channel.closeFuture().addListener(done -> closed = true);
    }

    boolean usable() {
        return !closed;
    }

    void close() {
        closed = true;
        channel.close();
    }

    /** What breaks the connection ends its streams, which tell their calls. */
    private static final class Broken extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            ReferenceCountUtil.release(frame); // of the connection itself: settings, pings
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A call that has begun. */
    final class Call extends ChannelInboundHandlerAdapter {
        private final Listener listener;
        private final List<byte[]> unsent = new ArrayList<>();
        private Http2StreamChannel stream;
        /** What is not yet a whole message; at most one and a frame. On the heap, so that nothing is to be released. */
        private ByteBuf received = Unpooled.buffer(0);

        private boolean ended;
        private boolean half;

        private Call(Listener listener) {
            this.listener = listener;
        }

        private void open(Http2Headers headers) {
            if (!up || closed) {
                end(UNAVAILABLE, "no connection");
                return;
            }
            Future<Http2StreamChannel> opening =
                    new Http2StreamChannelBootstrap(channel).handler(this).open();
            opening.addListener((Future<Http2StreamChannel> done) -> {
                if (!done.isSuccess()) {
                    end(UNAVAILABLE, "no stream");
                } else if (ended) {
                    done.getNow().close();
                } else {
                    stream = done.getNow();
                    stream.write(new DefaultHttp2HeadersFrame(headers));
                    List<byte[]> first = List.copyOf(unsent);
                    unsent.clear();
                    first.forEach(this::send);
                    stream.flush();
                }
            });
        }

        /** Sends a message; none follows the last. */
        void send(byte[] message) {
            if (ended) {
                return;
            }
            if (stream == null) {
                unsent.add(message);
                return;
            }
            ByteBuf framed = stream.alloc().buffer(PREFIX + message.length);
            framed.writeByte(0).writeInt(message.length).writeBytes(message);
            stream.writeAndFlush(new DefaultHttp2DataFrame(framed, half));
        }

        /** Ends it from here; the listener hears no more of it. */
        void cancel() {
            if (!ended) {
                ended = true;
                received = Unpooled.EMPTY_BUFFER;
                if (stream != null) {
                    stream.close();
                }
            }
        }

        private void end(int status, String why) {
            if (!ended) {
                cancel();
                listener.ended(status, why);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            try {
                if (ended) {
                    return;
                }
                if (frame instanceof Http2HeadersFrame headers) {
                    headers(headers);
                } else if (frame instanceof Http2DataFrame data) {
                    received.discardReadBytes().writeBytes(data.content());
                    messages();
                    if (!ended && data.isEndStream()) {
                        end(UNKNOWN, "the call ended without a status");
                    }
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        private void headers(Http2HeadersFrame frame) {
            Http2Headers headers = frame.headers();
            if (headers.status() != null && !headers.status().toString().equals("200")) {
                end(UNAVAILABLE, "answer " + headers.status());
                return;
            }
            CharSequence status = headers.get("grpc-status");
            if (status != null || frame.isEndStream()) {
                String why = String.valueOf(headers.get("grpc-message"));
                boolean told = status != null && status.toString().matches("\\d{1,2}");
                end(told ? Integer.parseInt(status.toString()) : UNKNOWN, why.equals("null") ? "" : why);
            }
        }

        private void messages() {
            while (!ended && received.readableBytes() >= PREFIX) {
                int at = received.readerIndex();
                int length = received.getInt(at + 1);
                if (received.getByte(at) != 0 || length < 0 || length > messageMost) {
                    end(UNKNOWN, "a message that was not asked for: compressed, or of " + length + " bytes");
                    return;
                }
                if (received.readableBytes() < PREFIX + length) {
                    return;
                }
                received.skipBytes(PREFIX);
                byte[] message = ByteBufUtil.getBytes(received, received.readerIndex(), length);
                received.skipBytes(length);
                if (!received.isReadable()) {
                    received = Unpooled.buffer(0);
                }
                listener.message(message);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof Http2ResetFrame reset) {
                end(UNAVAILABLE, "reset with code " + reset.errorCode());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end(UNAVAILABLE, "connection closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            end(UNAVAILABLE, "connection broken");
        }
    }

    /**
     * Begins a call.
     *
     * @param path of the method
     * @param token of who asks, or null
     * @param first its first message
     * @param only whether that is the only one
     * @param listener hears what comes
     * @return the call
     */
    Call call(String path, String token, byte[] first, boolean only, Listener listener) {
        Http2Headers headers = new DefaultHttp2Headers()
                .method("POST")
                .scheme("http")
                .authority(authority)
                .path(path);
        headers.set("te", "trailers").set("content-type", "application/grpc");
        if (token != null) {
            headers.set("token", token);
        }
        Call call = new Call(listener);
        call.half = only;
        call.send(first);
        if (up || closed) {
            call.open(headers);
        } else {
            waiting.add(() -> call.open(headers));
        }
        return call;
    }
}
