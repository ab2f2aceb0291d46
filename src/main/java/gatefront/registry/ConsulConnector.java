package gatefront.registry;

import com.fasterxml.jackson.databind.JsonNode;
import gatefront.config.Config;
import gatefront.http.codec.StrictHttpDecoders;
import gatefront.registry.RegistrySettings.Reads;
import gatefront.registry.follower.Follower;
import gatefront.registry.follower.KeyEntry;
import gatefront.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Consul's key-value store, or the health of a service, by blocking queries: each answer is the whole state, with an
 * index to wait behind. One connection, one call at a time.
 */
final class ConsulConnector implements RegistryConnector {
    private static final int BODY_BYTES_MOST = 32 << 20;
    private static final int DIAL_MS = 2_000;
    /** Consul has no name for its history; an index that goes back is the only sign of another one. */
    private static final long HISTORY = 1;

    private final Transport transport;
    private final RegistrySettings settings;
    private final RegistryMembers members;
    private final Follower follower;
    private final Bootstrap bootstrap;
    private Channel channel;
    /** The call that is out, or 0; whether it is a watch, and whether a quorum answers it. */
    private long out;

    private boolean quorum;

    ConsulConnector(Transport transport, RegistrySettings settings, RegistryMembers members, Follower follower) {
        this.transport = transport;
        this.settings = settings;
        this.members = members;
        this.follower = follower;
        this.bootstrap = new Bootstrap()
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
                                        new StrictHttpDecoders.Responses(),
                                        new HttpRequestEncoder(),
                                        new HttpObjectAggregator(BODY_BYTES_MOST),
                                        new Answers());
                    }
                });
    }

    @Override
    public void list(long call, boolean byQuorum) {
        call(call, byQuorum || settings.reads() == Reads.CONSISTENT, -1);
    }

    @Override
    public void watch(long call, long revision) {
        call(call, false, revision);
    }

    @Override
    public void ask(long call) {} // each call ends by itself when its wait is over

    @Override
    public void drop(boolean failed) {
        boolean unanswered = out != 0;
        out = 0;
        if (channel != null && (failed || unanswered)) {
            channel.close(); // what it still answers would pass for an answer to the next call
            channel = null;
        }
        if (failed) {
            members.next();
        }
    }

    private void call(long call, boolean byQuorum, long behind) {
        out = call;
        quorum = byQuorum;
        QueryStringEncoder uri = new QueryStringEncoder(
                settings.service() == null
                        ? "/v1/kv/" + settings.prefix()
                        : "/v1/health/service/" + settings.service());
        if (settings.service() == null) {
            uri.addParam("recurse", "true");
        }
        if (behind >= 0) {
            uri.addParam("index", String.valueOf(behind));
            // Consul adds up to a sixteenth, and the answer has to come before the call passes for broken.
            uri.addParam("wait", settings.bounds().silence() / 2_000 + "ms");
        }
        if (byQuorum || settings.reads() == Reads.CONSISTENT) {
            uri.addParam("consistent", "true");
        } else if (settings.reads() == Reads.STALE) {
            uri.addParam("stale", "true");
        }
        if (channel != null && channel.isActive()) {
            write(call, uri.toString());
            return;
        }
        ChannelFuture connecting = bootstrap.connect(members.current());
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                write(call, uri.toString()); // that of a call given up is closed before it can come up
            } else {
                failed(call, "no connection", false);
            }
        });
    }

    private void write(long call, String uri) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, members.name());
        if (settings.token() != null) {
            request.headers().set("X-Consul-Token", settings.token());
        }
        channel.writeAndFlush(request).addListener(done -> {
            if (!done.isSuccess()) {
                failed(call, "connection broken", false);
            }
        });
    }

    private long now() {
        return transport.nanos() / 1000;
    }

    private void failed(long call, String why, boolean overloaded) {
        follower.failed(now(), call, members.name() + ": " + why, overloaded);
    }

    private void answered(FullHttpResponse response) {
        long call = out;
        int status = response.status().code();
        if (response.decoderResult().isFailure() || status != 200 && status != 404) {
            failed(
                    call,
                    "answer " + status + (status == 403 ? ", the token has no right to " + settings.prefix() : ""),
                    status == 429 || status == 503);
            return;
        }
        if ("false".equals(response.headers().get("X-Consul-KnownLeader"))) {
            failed(call, "it knows no leader, and may have been cut off", false);
            return;
        }
        long index;
        List<KeyEntry> entries = List.of();
        try (InputStream body = new ByteBufInputStream(response.content())) {
            index = Long.parseLong(String.valueOf(response.headers().get("X-Consul-Index")));
            long apart = Long.parseLong(response.headers().get("X-Consul-LastContact", "0"));
            if (1_000 * apart > settings.bounds().stale()) {
                failed(call, "it has not heard of its leader for " + apart + " ms", false);
                return;
            }
            if (index < 1) {
                throw new IllegalArgumentException("index " + index);
            }
            if (status == 200) {
                JsonNode root = Config.parseJson(body);
                entries = settings.service() == null
                        ? decode(root, index)
                        : ConsulHealth.decode(root, settings.prefix(), index);
            }
        } catch (IOException | IllegalArgumentException e) {
            failed(
                    call,
                    "unusable answer: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""),
                    false);
            return;
        }
        out = 0;
        if (!HttpUtil.isKeepAlive(response)) {
            channel.close();
            channel = null;
        }
        follower.listed(now(), call, HISTORY, index, quorum, entries);
    }

    private List<KeyEntry> decode(JsonNode root, long index) {
        if (root == null || !root.isArray()) {
            throw new IllegalArgumentException("no list of keys");
        }
        List<KeyEntry> entries = new ArrayList<>();
        for (JsonNode each : root) {
            String key = each.path("Key").asText();
            long created = each.path("CreateIndex").asLong();
            long modified = each.path("ModifyIndex").asLong();
            if (!key.startsWith(settings.prefix()) || created < 1 || modified < created || modified > index) {
                throw new IllegalArgumentException("key or index of " + key);
            }
            JsonNode value = each.path("Value"); // null where a key was made without one
            byte[] bytes = value.isTextual() ? Base64.getDecoder().decode(value.asText()) : new byte[0];
            entries.add(new KeyEntry(key, new String(bytes, StandardCharsets.UTF_8), created, modified));
        }
        return entries;
    }

    /** Hands on what arrives on the connection in use. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel && out != 0) {
                answered(response);
            } else {
                ctx.close(); // an answer to nothing
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                failed(out, "connection closed", false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
