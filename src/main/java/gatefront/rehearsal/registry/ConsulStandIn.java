package gatefront.rehearsal.registry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.rehearsal.world.KeyValueStore;
import gatefront.transport.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** A stand-in for a Consul server: recursive reads of the key-value store, optionally blocking on an index. */
public final class ConsulStandIn extends RegistryStandIn {
    private static final long DEFAULT_WAIT_MS = 300_000;

    /** Pending reads; each is removed when it is answered or its connection closes. */
    private final Set<ReadHandler> pendingReads = new LinkedHashSet<>();

    private boolean knowsLeader = true;
    private long lastContactMillis;

    /** Creates a server for a store, which the supplier may replace. */
    public ConsulStandIn(Transport transport, Supplier<KeyValueStore> store) {
        super(transport, store);
    }

    /** Sets whether the server knows a leader, and the milliseconds since its last contact with the leader. */
    public void leaderContact(boolean leaderKnown, long sinceMillis) {
        knowsLeader = leaderKnown;
        lastContactMillis = sinceMillis;
    }

    @Override
    void initConnection(Channel channel) {
        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new ReadHandler());
    }

    @Override
    void notifyWaiting() {
        List.copyOf(pendingReads).forEach(ReadHandler::answerIfChanged);
    }

    private final class ReadHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private ChannelHandlerContext ctx;
        private String prefix;
        private long waitIndex;
        private boolean consistent;
        private boolean health;
        private int callCount;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pendingReads.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            boolean blocking = uri.parameters().containsKey("index");
            countCall(!blocking);
            if (isOverloaded()
                    || token() != null && !token().equals(request.headers().get("X-Consul-Token"))) {
                answer(isOverloaded() ? HttpResponseStatus.TOO_MANY_REQUESTS : HttpResponseStatus.FORBIDDEN, -1, "");
                return;
            }
            health = uri.path().startsWith("/v1/health/service/");
            prefix = health
                    ? uri.path().substring("/v1/health/service/".length()) + "/"
                    : uri.path().substring("/v1/kv/".length());
            consistent = uri.parameters().containsKey("consistent");
            waitIndex = blocking ? Long.parseLong(uri.parameters().get("index").get(0)) : -1;
            int callNumber = ++callCount;
            String wait = uri.parameters()
                    .getOrDefault("wait", List.of(DEFAULT_WAIT_MS + "ms"))
                    .get(0);
            pendingReads.add(this);
            if (blocking) {
                ctx.channel()
                        .eventLoop()
                        .schedule(
                                () -> {
                                    if (callNumber == callCount) {
                                        waitIndex = -1;
                                        answerIfChanged();
                                    }
                                },
                                Long.parseLong(wait.replace("ms", "")),
                                TimeUnit.MILLISECONDS);
            }
            if (!blocking || !isNotifyDelayed()) {
                answerIfChanged();
            }
        }

        /** Answers the pending read if the index has changed. An index ahead of the store's is answered at once. */
        void answerIfChanged() {
            long revision = consistent ? store().revision() : revision();
            if (isSilent() || !pendingReads.contains(this) || revision == waitIndex) {
                return;
            }
            pendingReads.remove(this);
            callCount++;
            List<KeyValueStore.KeyValue> all = store().range(prefix, KeyValueStore.prefixEnd(prefix), revision);
            Map<String, String> values = new LinkedHashMap<>();
            ArrayNode root = JsonNodeFactory.instance.arrayNode();
            for (KeyValueStore.KeyValue keyValue : all) {
                values.put(keyValue.key(), keyValue.value());
                if (health) {
                    instance(root.addObject(), keyValue);
                    continue;
                }
                root.addObject()
                        .put("LockIndex", 0)
                        .put("Key", keyValue.key())
                        .put("Flags", 0)
                        .put(
                                "Value",
                                Base64.getEncoder()
                                        .encodeToString(keyValue.value().getBytes(StandardCharsets.UTF_8)))
                        .put("CreateIndex", keyValue.createRevision())
                        .put("ModifyIndex", keyValue.modRevision());
            }
            notifyWritten(ctx.channel(), true, values, revision);
            boolean notFound = all.isEmpty() && !health;
            answer(
                    notFound ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK,
                    revision,
                    notFound ? "" : root.toString());
        }

        /** Adds an instance from a key {@code SERVICE/ID}, whose value holds port, zone and the status of its check. */
        private void instance(ObjectNode root, KeyValueStore.KeyValue keyValue) {
            String[] fields = keyValue.value().split(" ");
            root.putObject("Node").put("Address", "127.0.0.1");
            ObjectNode service = root.putObject("Service")
                    .put("ID", keyValue.key().substring(prefix.length()))
                    .put("Address", "")
                    .put("Port", Integer.parseInt(fields[0]))
                    .put("CreateIndex", keyValue.createRevision())
                    .put("ModifyIndex", keyValue.createRevision()); // a check changes without changing this index
            service.putObject("Meta").put("zone", fields[1]).put("type", "small");
            service.putObject("Weights").put("Passing", 2);
            root.putArray("Checks").addObject().put("Status", fields[2]);
        }

        private void answer(HttpResponseStatus status, long index, String text) {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                    .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            if (index >= 0) {
                response.headers()
                        .set("X-Consul-Index", index)
                        .set("X-Consul-KnownLeader", String.valueOf(knowsLeader))
                        .set("X-Consul-LastContact", lastContactMillis);
            }
            ctx.writeAndFlush(response);
        }
    }
}
