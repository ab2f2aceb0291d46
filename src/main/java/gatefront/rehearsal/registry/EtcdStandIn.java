package gatefront.rehearsal.registry;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import gatefront.registry.Protobuf;
import gatefront.rehearsal.world.KeyValueStore;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * A member of etcd, version 3, as far as a follower needs one: Range, Watch and Authenticate over gRPC, by the field
 * numbers of its public interface.
 */
public final class EtcdStandIn extends RegistryStandIn {
    private static final int STATUS_OK = 0;
    private static final int STATUS_INVALID = 3;
    private static final int STATUS_EXHAUSTED = 8;
    private static final int STATUS_RANGE = 11;
    private static final int STATUS_UNAUTHENTICATED = 16;
    private static final int PREFIX = 5;

    /** Watches, each removed when its stream closes or it is cancelled. */
    private final Set<Stream> watching = new LinkedHashSet<>();

    private int fragment = Integer.MAX_VALUE;
    private boolean repeats;
    private String password;
    private Runnable betweenPages = () -> {};

    /** One that serves a store, which the supplier may replace. */
    public EtcdStandIn(Transport transport, Supplier<KeyValueStore> store) {
        super(transport, store);
    }

    /** How many events a message holds at the most; more come in fragments. */
    public EtcdStandIn fragment(int most) {
        fragment = most;
        return this;
    }

    /** Whether each message of a watch begins with what has been told before. */
    public EtcdStandIn repeats(boolean now) {
        repeats = now;
        return this;
    }

    /** Calls need the token that a user gets for this password; see {@link #secret} for the token. */
    public EtcdStandIn password(String needed) {
        password = needed;
        return this;
    }

    /** Has something happen before each further page of a read. */
    public EtcdStandIn betweenPages(Runnable what) {
        betweenPages = what;
        return this;
    }

    @Override
    void serve(Channel channel) {
        channel.pipeline()
                .addLast(
                        Http2FrameCodecBuilder.forServer().build(),
                        new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel ch) {
                                ch.pipeline().addLast(new Stream());
                            }
                        }),
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close(); // a client that has been killed
                            }
                        });
    }

    @Override
    void tellAll() {
        List.copyOf(watching).forEach(Stream::tell);
    }

    private byte[] header(long revision) {
        return Protobuf.message(out -> {
            out.writeUInt64(1, store().history());
            out.writeUInt64(2, 1);
            out.writeInt64(3, revision);
            out.writeUInt64(4, 2);
        });
    }

    private static byte[] keyValue(KeyValueStore.Kv kv) {
        return Protobuf.message(out -> {
            out.writeByteArray(1, kv.key().getBytes(StandardCharsets.UTF_8));
            out.writeInt64(2, kv.created());
            out.writeInt64(3, kv.modified());
            out.writeInt64(4, 1);
            out.writeByteArray(5, kv.value().getBytes(StandardCharsets.UTF_8));
        });
    }

    /** One call. */
    private final class Stream extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext ctx;
        private String path = "";
        private String token = "";
        private ByteBuf received = Unpooled.buffer(0);
        private boolean headed;
        private boolean ended;
        private String from;
        private String to;
        /** Up to which the watch has been told. */
        private long told;

        @Override
        public void channelRead(ChannelHandlerContext context, Object frame) throws IOException {
            ctx = context;
            try {
                if (frame instanceof Http2HeadersFrame headers) {
                    path = String.valueOf(headers.headers().path());
                    token = String.valueOf(headers.headers().get("token"));
                } else if (frame instanceof Http2DataFrame data) {
                    received.discardReadBytes().writeBytes(data.content());
                    while (!ended
                            && received.readableBytes() >= PREFIX
                            && received.readableBytes() >= PREFIX + received.getInt(received.readerIndex() + 1)) {
                        received.skipBytes(1);
                        byte[] message = new byte[received.readInt()];
                        received.readBytes(message);
                        message(message);
                    }
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watching.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void message(byte[] message) throws IOException {
            if (isSilent()) {
                return;
            }
            CodedInputStream in = CodedInputStream.newInstance(message);
            if (path.endsWith("/Authenticate")) {
                in.readTag();
                in.readString();
                in.readTag();
                if (in.readString().equals(password)) {
                    send(Protobuf.message(out -> {
                        out.writeByteArray(1, header(revision()));
                        out.writeString(2, secret());
                    }));
                    end(STATUS_OK, "");
                } else {
                    end(STATUS_INVALID, "etcdserver: authentication failed, invalid user ID or password");
                }
                return;
            }
            if (secret() != null && !secret().equals(token)) {
                counted(path.endsWith("/Range"));
                if (path.endsWith("/Range")) {
                    end(STATUS_UNAUTHENTICATED, "etcdserver: invalid auth token");
                } else { // a watch is not refused by a status: it is made and cancelled
                    send(watched(0, revision(), out -> {
                        out.writeBool(3, true);
                        out.writeBool(4, true);
                        out.writeString(6, "etcdserver: invalid auth token");
                    }));
                }
            } else if (isOverloaded()) {
                counted(path.endsWith("/Range"));
                end(STATUS_EXHAUSTED, "etcdserver: too many requests");
            } else if (path.endsWith("/Range")) {
                counted(true);
                range(in);
            } else {
                watch(in);
            }
        }

        private void range(CodedInputStream in) throws IOException {
            String from = "";
            String to = "";
            int limit = 0;
            long at = 0;
            boolean any = false;
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                switch (WireFormat.getTagFieldNumber(tag)) {
                    case 1 -> from = in.readString();
                    case 2 -> to = in.readString();
                    case 3 -> limit = (int) in.readInt64();
                    case 4 -> at = in.readInt64();
                    case 7 -> any = in.readBool();
                    default -> in.skipField(tag);
                }
            }
            if (at > 0) {
                betweenPages.run();
            }
            long member = any ? revision() : store().revision();
            long revision = at == 0 ? member : at;
            if (!store().has(revision)) {
                end(
                        STATUS_RANGE,
                        revision < store().oldest()
                                ? "etcdserver: mvcc: required revision has been compacted"
                                : "etcdserver: mvcc: required revision is a future revision");
                return;
            }
            List<KeyValueStore.Kv> all = store().range(from, to, revision);
            int most = limit == 0 ? all.size() : Math.min(limit, all.size());
            send(Protobuf.message(out -> {
                out.writeByteArray(1, header(member));
                for (KeyValueStore.Kv each : all.subList(0, most)) {
                    out.writeByteArray(2, keyValue(each));
                }
                out.writeBool(3, all.size() > most);
                out.writeInt64(4, all.size());
            }));
            Map<String, String> values = new LinkedHashMap<>();
            all.subList(0, most).forEach(each -> values.put(each.key(), each.value()));
            wrote(ctx.channel(), at == 0 && all.size() == most, values, revision);
            end(STATUS_OK, "");
        }

        private void watch(CodedInputStream in) throws IOException {
            int tag = in.readTag();
            CodedInputStream request = CodedInputStream.newInstance(in.readByteArray());
            if (WireFormat.getTagFieldNumber(tag) == 3) {
                if (!isLate()) {
                    tell();
                }
                if (watching.contains(this) && told >= revision()) {
                    send(watched(-1, revision(), out -> {}));
                }
                return;
            }
            counted(false);
            for (int field = request.readTag(); field != 0; field = request.readTag()) {
                switch (WireFormat.getTagFieldNumber(field)) {
                    case 1 -> from = request.readString();
                    case 2 -> to = request.readString();
                    case 3 -> told = request.readInt64() - 1;
                    default -> request.skipField(field);
                }
            }
            watching.add(this);
            send(watched(0, revision(), out -> out.writeBool(3, true)));
            tell();
        }

        /** Sends what the watch has not been told; a watch of what is compacted is cancelled. */
        void tell() {
            if (isSilent() || !watching.contains(this) || told >= revision()) {
                return;
            }
            List<KeyValueStore.Event> news = store().since(from, to, told);
            if (news == null) {
                watching.remove(this);
                send(watched(0, revision(), out -> {
                    out.writeBool(4, true);
                    out.writeInt64(5, store().oldest());
                }));
                return;
            }
            long until = revision();
            List<KeyValueStore.Event> due =
                    news.stream().filter(each -> each.revision() <= until).toList();
            if (repeats && !due.isEmpty() && store().since(from, to, told - 2) != null) {
                due = store().since(from, to, told - 2).stream()
                        .filter(each -> each.revision() <= until)
                        .toList();
            }
            told = until;
            wrote(ctx.channel(), false, Map.of(), until);
            for (int at = 0; at < due.size(); ) {
                int end = (int) Math.min(due.size(), (long) at + fragment);
                List<KeyValueStore.Event> part = due.subList(at, end);
                boolean more = end < due.size();
                send(watched(0, until, out -> {
                    if (more) {
                        out.writeBool(7, true);
                    }
                    for (KeyValueStore.Event each : part) {
                        out.writeByteArray(11, event(each));
                    }
                }));
                Map<String, String> values = new LinkedHashMap<>();
                part.forEach(each -> values.put(
                        each.key(), each.after() == null ? null : each.after().value()));
                wrote(ctx.channel(), false, values, until);
                at = end;
            }
        }

        private byte[] watched(long id, long revision, Protobuf.Fields rest) {
            return Protobuf.message(out -> {
                out.writeByteArray(1, header(revision));
                out.writeInt64(2, id);
                rest.write(out);
            });
        }

        private byte[] event(KeyValueStore.Event each) {
            return Protobuf.message(out -> {
                if (each.after() == null) {
                    out.writeEnum(1, 1);
                }
                out.writeByteArray(
                        2,
                        keyValue(
                                each.after() != null
                                        ? each.after()
                                        : new KeyValueStore.Kv(each.key(), "", 0, each.revision())));
            });
        }

        private void send(byte[] message) {
            if (!headed) {
                headed = true;
                ctx.write(new DefaultHttp2HeadersFrame(
                        new DefaultHttp2Headers().status("200").set("content-type", "application/grpc")));
            }
            ByteBuf framed = ctx.alloc().buffer(PREFIX + message.length);
            ctx.writeAndFlush(new DefaultHttp2DataFrame(
                    framed.writeByte(0).writeInt(message.length).writeBytes(message)));
        }

        private void end(int status, String why) {
            ended = true;
            watching.remove(this);
            DefaultHttp2Headers trailers = new DefaultHttp2Headers();
            if (!headed) {
                trailers.status("200").set("content-type", "application/grpc");
            }
            trailers.set("grpc-status", String.valueOf(status)).set("grpc-message", why);
            ctx.writeAndFlush(new DefaultHttp2HeadersFrame(trailers, true));
        }
    }
}
