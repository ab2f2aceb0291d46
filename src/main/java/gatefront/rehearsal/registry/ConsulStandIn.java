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

/** A member of Consul as far as its key-value store is read: recursive reads that may wait behind an index. */
public final class ConsulStandIn extends RegistryStandIn {
    private static final long WAIT_MS = 300_000;

    /** Waiting reads, each removed when it is answered or its connection closes. */
    private final Set<Asking> waiting = new LinkedHashSet<>();

    private boolean leader = true;
    private long lastContact;

    /** One that serves a store, which the supplier may replace. */
    public ConsulStandIn(Transport transport, Supplier<KeyValueStore> store) {
        super(transport, store);
    }

    /** Whether it knows a leader, and for how many milliseconds it has not heard of it. */
    public void cutOff(boolean knowsLeader, long millis) {
        leader = knowsLeader;
        lastContact = millis;
    }

    @Override
    void serve(Channel channel) {
        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 16), new Asking());
    }

    @Override
    void tellAll() {
        List.copyOf(waiting).forEach(Asking::look);
    }

    private final class Asking extends SimpleChannelInboundHandler<FullHttpRequest> {
        private ChannelHandlerContext ctx;
        private String prefix;
        private long behind;
        private boolean consistent;
        private boolean health;
        private int call;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            waiting.remove(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            QueryStringDecoder uri = new QueryStringDecoder(request.uri());
            boolean waits = uri.parameters().containsKey("index");
            counted(!waits);
            if (isOverloaded()
                    || secret() != null && !secret().equals(request.headers().get("X-Consul-Token"))) {
                answer(isOverloaded() ? HttpResponseStatus.TOO_MANY_REQUESTS : HttpResponseStatus.FORBIDDEN, -1, "");
                return;
            }
            health = uri.path().startsWith("/v1/health/service/");
            prefix = health
                    ? uri.path().substring("/v1/health/service/".length()) + "/"
                    : uri.path().substring("/v1/kv/".length());
            consistent = uri.parameters().containsKey("consistent");
            behind = waits ? Long.parseLong(uri.parameters().get("index").get(0)) : -1;
            int mine = ++call;
            String wait = uri.parameters()
                    .getOrDefault("wait", List.of(WAIT_MS + "ms"))
                    .get(0);
            waiting.add(this);
            if (waits) {
                ctx.channel()
                        .eventLoop()
                        .schedule(
                                () -> {
                                    if (mine == call) {
                                        behind = -1;
                                        look();
                                    }
                                },
                                Long.parseLong(wait.replace("ms", "")),
                                TimeUnit.MILLISECONDS);
            }
            if (!waits || !isLate()) {
                look();
            }
        }

        /** Answers if there is anything to answer. An index that is ahead of ours is answered at once, with ours. */
        void look() {
            long at = consistent ? store().revision() : revision();
            if (isSilent() || !waiting.contains(this) || at == behind) {
                return;
            }
            waiting.remove(this);
            call++;
            List<KeyValueStore.Kv> all = store().range(prefix, KeyValueStore.behind(prefix), at);
            Map<String, String> values = new LinkedHashMap<>();
            ArrayNode root = JsonNodeFactory.instance.arrayNode();
            for (KeyValueStore.Kv each : all) {
                values.put(each.key(), each.value());
                if (health) {
                    instance(root.addObject(), each);
                    continue;
                }
                root.addObject()
                        .put("LockIndex", 0)
                        .put("Key", each.key())
                        .put("Flags", 0)
                        .put(
                                "Value",
                                Base64.getEncoder().encodeToString(each.value().getBytes(StandardCharsets.UTF_8)))
                        .put("CreateIndex", each.created())
                        .put("ModifyIndex", each.modified());
            }
            wrote(ctx.channel(), true, values, at);
            boolean none = all.isEmpty() && !health;
            answer(none ? HttpResponseStatus.NOT_FOUND : HttpResponseStatus.OK, at, none ? "" : root.toString());
        }

        /** An instance, from a key {@code SERVICE/ID} that holds address, zone and the state of its check. */
        private void instance(ObjectNode root, KeyValueStore.Kv kv) {
            String[] held = kv.value().split(" ");
            root.putObject("Node").put("Address", "127.0.0.1");
            ObjectNode service = root.putObject("Service")
                    .put("ID", kv.key().substring(prefix.length()))
                    .put("Address", "")
                    .put("Port", Integer.parseInt(held[0]))
                    .put("CreateIndex", kv.created())
                    .put("ModifyIndex", kv.created()); // a check changes without it
            service.putObject("Meta").put("zone", held[1]).put("type", "small");
            service.putObject("Weights").put("Passing", 2);
            root.putArray("Checks").addObject().put("Status", held[2]);
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
                        .set("X-Consul-KnownLeader", String.valueOf(leader))
                        .set("X-Consul-LastContact", lastContact);
            }
            ctx.writeAndFlush(response);
        }
    }
}
