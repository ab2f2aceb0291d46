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
 * A stand-in for an etcd v3 member with the calls that a follower needs: Range, Watch and Authenticate over gRPC,
 * with the field numbers of the public interface.
 */
public final class EtcdStandIn extends RegistryStandIn {
    private static final int STATUS_OK = 0;
    private static final int STATUS_INVALID = 3;
    private static final int STATUS_EXHAUSTED = 8;
    private static final int STATUS_RANGE = 11;
    private static final int STATUS_UNAUTHENTICATED = 16;
    private static final int GRPC_PREFIX_BYTES = 5;

    /** Active watches; each is removed when its stream closes or it is cancelled. */
    private final Set<Stream> activeWatches = new LinkedHashSet<>();

    private int maxEventsPerMessage = Integer.MAX_VALUE;
    private boolean repeatEvents;
    private String password;
    private Runnable beforeEachPage = () -> {};

    /** Creates a member for a store, which the supplier may replace. */
    public EtcdStandIn(Transport transport, Supplier<KeyValueStore> store) {
        super(transport, store);
    }

    /** Sets the maximum number of events per message; further events follow in fragments. */
    public EtcdStandIn maxEventsPerMessage(int limit) {
        maxEventsPerMessage = limit;
        return this;
    }

    /** Sets whether each watch message repeats events that were sent before. */
    public EtcdStandIn repeatEvents(boolean repeats) {
        repeatEvents = repeats;
        return this;
    }

    /** Requires calls to carry the token that a user gets for this password; see {@link #token} for the token. */
    public EtcdStandIn password(String required) {
        password = required;
        return this;
    }

    /** Sets an action that runs before each further page of a read. */
    public EtcdStandIn beforeEachPage(Runnable action) {
        beforeEachPage = action;
        return this;
    }

    @Override
    void initConnection(Channel channel) {
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
                                ctx.close(); // the client was killed
                            }
                        });
    }

    @Override
    void notifyWaiting() {
        List.copyOf(activeWatches).forEach(Stream::sendChanges);
    }

    private byte[] header(long revision) {
        return Protobuf.message(out -> {
            out.writeUInt64(1, store().clusterId());
            out.writeUInt64(2, 1);
            out.writeInt64(3, revision);
            out.writeUInt64(4, 2);
        });
    }

    private static byte[] keyValue(KeyValueStore.KeyValue keyValue) {
        return Protobuf.message(out -> {
            out.writeByteArray(1, keyValue.key().getBytes(StandardCharsets.UTF_8));
            out.writeInt64(2, keyValue.createRevision());
            out.writeInt64(3, keyValue.modRevision());
            out.writeInt64(4, 1);
            out.writeByteArray(5, keyValue.value().getBytes(StandardCharsets.UTF_8));
        });
    }

    /** One gRPC call. */
    private final class Stream extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext ctx;
        private String path = "";
        private String token = "";
        private ByteBuf received = Unpooled.buffer(0);
        private boolean headersSent;
        private boolean ended;
        private String from;
        private String to;
        /** The revision up to which the watch has been sent changes. */
        private long watchedRevision;

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
                            && received.readableBytes() >= GRPC_PREFIX_BYTES
                            && received.readableBytes()
                                    >= GRPC_PREFIX_BYTES + received.getInt(received.readerIndex() + 1)) {
                        received.skipBytes(1);
                        byte[] message = new byte[received.readInt()];
                        received.readBytes(message);
                        handleMessage(message);
                    }
                }
            } finally {
                ReferenceCountUtil.release(frame);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            activeWatches.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private void handleMessage(byte[] message) throws IOException {
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
                        out.writeString(2, token());
                    }));
                    end(STATUS_OK, "");
                } else {
                    end(STATUS_INVALID, "etcdserver: authentication failed, invalid user ID or password");
                }
                return;
            }
            if (token() != null && !token().equals(token)) {
                countCall(path.endsWith("/Range"));
                if (path.endsWith("/Range")) {
                    end(STATUS_UNAUTHENTICATED, "etcdserver: invalid auth token");
                } else { // a watch is not refused by a status: it is created and cancelled
                    send(watchResponse(0, revision(), out -> {
                        out.writeBool(3, true);
                        out.writeBool(4, true);
                        out.writeString(6, "etcdserver: invalid auth token");
                    }));
                }
            } else if (isOverloaded()) {
                countCall(path.endsWith("/Range"));
                end(STATUS_EXHAUSTED, "etcdserver: too many requests");
            } else if (path.endsWith("/Range")) {
                countCall(true);
                range(in);
            } else {
                watch(in);
            }
        }

        private void range(CodedInputStream in) throws IOException {
            String from = "";
            String to = "";
            int limit = 0;
            long requestedRevision = 0;
            boolean serializable = false;
            for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
                switch (WireFormat.getTagFieldNumber(tag)) {
                    case 1 -> from = in.readString();
                    case 2 -> to = in.readString();
                    case 3 -> limit = (int) in.readInt64();
                    case 4 -> requestedRevision = in.readInt64();
                    case 7 -> serializable = in.readBool();
                    default -> in.skipField(tag);
                }
            }
            if (requestedRevision > 0) {
                beforeEachPage.run();
            }
            long memberRevision = serializable ? revision() : store().revision();
            long revision = requestedRevision == 0 ? memberRevision : requestedRevision;
            if (!store().isReadable(revision)) {
                end(
                        STATUS_RANGE,
                        revision < store().oldestRevision()
                                ? "etcdserver: mvcc: required revision has been compacted"
                                : "etcdserver: mvcc: required revision is a future revision");
                return;
            }
            List<KeyValueStore.KeyValue> all = store().range(from, to, revision);
            int pageSize = limit == 0 ? all.size() : Math.min(limit, all.size());
            send(Protobuf.message(out -> {
                out.writeByteArray(1, header(memberRevision));
                for (KeyValueStore.KeyValue keyValue : all.subList(0, pageSize)) {
                    out.writeByteArray(2, keyValue(keyValue));
                }
                out.writeBool(3, all.size() > pageSize);
                out.writeInt64(4, all.size());
            }));
            Map<String, String> values = new LinkedHashMap<>();
            all.subList(0, pageSize).forEach(keyValue -> values.put(keyValue.key(), keyValue.value()));
            notifyWritten(ctx.channel(), requestedRevision == 0 && all.size() == pageSize, values, revision);
            end(STATUS_OK, "");
        }

        private void watch(CodedInputStream in) throws IOException {
            int tag = in.readTag();
            CodedInputStream request = CodedInputStream.newInstance(in.readByteArray());
            if (WireFormat.getTagFieldNumber(tag) == 3) {
                if (!isNotifyDelayed()) {
                    sendChanges();
                }
                if (activeWatches.contains(this) && watchedRevision >= revision()) {
                    send(watchResponse(-1, revision(), out -> {}));
                }
                return;
            }
            countCall(false);
            for (int field = request.readTag(); field != 0; field = request.readTag()) {
                switch (WireFormat.getTagFieldNumber(field)) {
                    case 1 -> from = request.readString();
                    case 2 -> to = request.readString();
                    case 3 -> watchedRevision = request.readInt64() - 1;
                    default -> request.skipField(field);
                }
            }
            activeWatches.add(this);
            send(watchResponse(0, revision(), out -> out.writeBool(3, true)));
            sendChanges();
        }

        /** Sends the changes that the watch has not been sent; cancels a watch whose changes have been compacted. */
        void sendChanges() {
            if (isSilent() || !activeWatches.contains(this) || watchedRevision >= revision()) {
                return;
            }
            List<KeyValueStore.Event> changes = store().changesAfter(from, to, watchedRevision);
            if (changes == null) {
                activeWatches.remove(this);
                send(watchResponse(0, revision(), out -> {
                    out.writeBool(4, true);
                    out.writeInt64(5, store().oldestRevision());
                }));
                return;
            }
            long until = revision();
            List<KeyValueStore.Event> pending = changes.stream()
                    .filter(change -> change.revision() <= until)
                    .toList();
            if (repeatEvents && !pending.isEmpty() && store().changesAfter(from, to, watchedRevision - 2) != null) {
                pending = store().changesAfter(from, to, watchedRevision - 2).stream()
                        .filter(change -> change.revision() <= until)
                        .toList();
            }
            watchedRevision = until;
            notifyWritten(ctx.channel(), false, Map.of(), until);
            for (int start = 0; start < pending.size(); ) {
                int end = (int) Math.min(pending.size(), (long) start + maxEventsPerMessage);
                List<KeyValueStore.Event> fragment = pending.subList(start, end);
                boolean more = end < pending.size();
                send(watchResponse(0, until, out -> {
                    if (more) {
                        out.writeBool(7, true);
                    }
                    for (KeyValueStore.Event change : fragment) {
                        out.writeByteArray(11, event(change));
                    }
                }));
                Map<String, String> values = new LinkedHashMap<>();
                fragment.forEach(change -> values.put(
                        change.key(),
                        change.after() == null ? null : change.after().value()));
                notifyWritten(ctx.channel(), false, values, until);
                start = end;
            }
        }

        private byte[] watchResponse(long id, long revision, Protobuf.Fields rest) {
            return Protobuf.message(out -> {
                out.writeByteArray(1, header(revision));
                out.writeInt64(2, id);
                rest.write(out);
            });
        }

        private byte[] event(KeyValueStore.Event change) {
            return Protobuf.message(out -> {
                if (change.after() == null) {
                    out.writeEnum(1, 1);
                }
                out.writeByteArray(
                        2,
                        keyValue(
                                change.after() != null
                                        ? change.after()
                                        : new KeyValueStore.KeyValue(change.key(), "", 0, change.revision())));
            });
        }

        private void send(byte[] message) {
            if (!headersSent) {
                headersSent = true;
                ctx.write(new DefaultHttp2HeadersFrame(
                        new DefaultHttp2Headers().status("200").set("content-type", "application/grpc")));
            }
            ByteBuf framed = ctx.alloc().buffer(GRPC_PREFIX_BYTES + message.length);
            ctx.writeAndFlush(new DefaultHttp2DataFrame(
                    framed.writeByte(0).writeInt(message.length).writeBytes(message)));
        }

        private void end(int status, String message) {
            ended = true;
            activeWatches.remove(this);
            DefaultHttp2Headers trailers = new DefaultHttp2Headers();
            if (!headersSent) {
                trailers.status("200").set("content-type", "application/grpc");
            }
            trailers.set("grpc-status", String.valueOf(status)).set("grpc-message", message);
            ctx.writeAndFlush(new DefaultHttp2HeadersFrame(trailers, true));
        }
    }
}
