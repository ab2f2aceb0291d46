package gatefront.registry;

import gatefront.transport.Transport;
import gatefront.transport.UnopenedChannel;
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
 * A connection for gRPC calls (gRPC over HTTP/2, as its protocol specification defines it) without generated code:
 * messages are byte arrays. Runs on the transport's event loop and owns its streams, which end with it.
 */
final class GrpcConnection {
    /** The gRPC status codes that are handled. */
    static final int OK = 0;

    static final int UNKNOWN = 2;
    static final int RESOURCE_EXHAUSTED = 8;
    static final int UNAVAILABLE = 14;
    static final int UNAUTHENTICATED = 16;

    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final int INITIAL_WINDOW_BYTES = 1 << 20;
    private static final int FRAME_HEADER_BYTES = 5;

    /** Receives the results of a call. */
    interface Listener {
        /** Reports a response message. */
        void message(byte[] message);

        /** Reports the end of the call; called once. */
        void ended(int status, String reason);
    }

    private final int maxMessageBytes;
    private final String authority;
    private final Channel channel;
    private boolean connected;
    private boolean closed;
    private final List<Runnable> pendingCalls = new ArrayList<>();

    /** Connects; calls wait until the connection is established. */
    GrpcConnection(Transport transport, InetSocketAddress address, int maxMessageBytes) {
        this.maxMessageBytes = maxMessageBytes;
        this.authority = address.getAddress().getHostAddress() + ":" + address.getPort();
        ChannelFuture connecting = new Bootstrap()
                .group(transport.loop())
                .channelFactory(UnopenedChannel.insteadOfFailureOf(transport.clientChannels()))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
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
                                                        .initialWindowSize(INITIAL_WINDOW_BYTES)
                                                        .maxHeaderListSize(16 << 10))
                                                .build(),
                                        new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()),
                                        new ConnectionHandler());
                    }
                })
                .connect(address);
        channel = connecting.channel();
        connecting.addListener(done -> {
            connected = done.isSuccess();
            closed |= !connected;
            List.copyOf(pendingCalls).forEach(Runnable::run);
            pendingCalls.clear();
        });
        channel.closeFuture().addListener(done -> closed = true);
    }

    boolean isUsable() {
        return !closed;
    }

    void close() {
        closed = true;
        channel.close();
    }

    /** Closes the connection on an error. That ends its streams, which report it to their calls. */
    private static final class ConnectionHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            // A frame of the connection itself, such as settings or a ping.
            ReferenceCountUtil.release(frame);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A call in progress. */
    final class Call extends ChannelInboundHandlerAdapter {
        private final Listener listener;
        private final List<byte[]> unsent = new ArrayList<>();
        private Http2StreamChannel stream;
        /**
         * Received bytes that are not a complete message; at most one message and a frame. The buffer is on the heap,
         * so that it needs no release.
         */
        private ByteBuf received = Unpooled.buffer(0);

        private boolean ended;
        private boolean endStreamAfterSend;

        private Call(Listener listener) {
            this.listener = listener;
        }

        private void open(Http2Headers headers) {
            if (!connected || closed) {
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

        /** Sends a message; the last message ends the stream. */
        void send(byte[] message) {
            if (ended) {
                return;
            }
            if (stream == null) {
                unsent.add(message);
                return;
            }
            ByteBuf framed = stream.alloc().buffer(FRAME_HEADER_BYTES + message.length);
            framed.writeByte(0).writeInt(message.length).writeBytes(message);
            stream.writeAndFlush(new DefaultHttp2DataFrame(framed, endStreamAfterSend));
        }

        /** Cancels the call; its listener is not called any more. */
        void cancel() {
            if (!ended) {
                ended = true;
                received = Unpooled.EMPTY_BUFFER;
                if (stream != null) {
                    stream.close();
                }
            }
        }

        private void end(int status, String reason) {
            if (!ended) {
                cancel();
                listener.ended(status, reason);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            try {
                if (ended) {
                    return;
                }
                if (frame instanceof Http2HeadersFrame headers) {
                    headersReceived(headers);
                } else if (frame instanceof Http2DataFrame data) {
                    received.discardReadBytes().writeBytes(data.content());
                    readMessages();
                    if (!ended && data.isEndStream()) {
                        end(UNKNOWN, "the call ended without a status");
                    }
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        private void headersReceived(Http2HeadersFrame frame) {
            Http2Headers headers = frame.headers();
            if (headers.status() != null && !headers.status().toString().equals("200")) {
                end(UNAVAILABLE, "answer " + headers.status());
                return;
            }
            CharSequence status = headers.get("grpc-status");
            if (status != null || frame.isEndStream()) {
                String message = String.valueOf(headers.get("grpc-message"));
                boolean validStatus = status != null && status.toString().matches("\\d{1,2}");
                end(validStatus ? Integer.parseInt(status.toString()) : UNKNOWN, message.equals("null") ? "" : message);
            }
        }

        private void readMessages() {
            while (!ended && received.readableBytes() >= FRAME_HEADER_BYTES) {
                int start = received.readerIndex();
                int length = received.getInt(start + 1);
                if (received.getByte(start) != 0 || length < 0 || length > maxMessageBytes) {
                    end(UNKNOWN, "a message that was not asked for: compressed, or of " + length + " bytes");
                    return;
                }
                if (received.readableBytes() < FRAME_HEADER_BYTES + length) {
                    return;
                }
                received.skipBytes(FRAME_HEADER_BYTES);
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
     * Starts a call.
     *
     * @param path the path of the method
     * @param token the authentication token, or null
     * @param first the first message
     * @param singleMessage whether it is the only message
     * @param listener receives the results
     * @return the call
     */
    Call call(String path, String token, byte[] first, boolean singleMessage, Listener listener) {
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
        call.endStreamAfterSend = singleMessage;
        call.send(first);
        if (connected || closed) {
            call.open(headers);
        } else {
            pendingCalls.add(() -> call.open(headers));
        }
        return call;
    }
}
