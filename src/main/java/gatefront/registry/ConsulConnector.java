package gatefront.registry;

import com.fasterxml.jackson.databind.JsonNode;
import gatefront.config.Config;
import gatefront.http.codec.StrictHttpDecoders;
import gatefront.registry.RegistrySettings.Reads;
import gatefront.registry.follower.Follower;
import gatefront.registry.follower.KeyEntry;
import gatefront.transport.Transport;
import gatefront.transport.UnopenedChannel;
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
 * Reads Consul's key-value store, or the health of a service, with blocking queries: each response holds the full
 * state and an index to wait for the next change with. It uses one connection and makes one call at a time.
 */
final class ConsulConnector implements RegistryConnector {
    private static final int MAX_BODY_BYTES = 32 << 20;
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    /** Consul does not identify its history; an index that goes back is the only sign of another one. */
    private static final long HISTORY = 1;

    private final Transport transport;
    private final RegistrySettings settings;
    private final RegistryMembers members;
    private final Follower follower;
    private final Bootstrap bootstrap;
    private Channel channel;
    /** The number of the call in progress, or 0. */
    private long currentCall;

    /** Whether the call in progress is confirmed by a quorum. */
    private boolean quorumRead;

    ConsulConnector(Transport transport, RegistrySettings settings, RegistryMembers members, Follower follower) {
        this.transport = transport;
        this.settings = settings;
        this.members = members;
        this.follower = follower;
        this.bootstrap = new Bootstrap()
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
                                        new StrictHttpDecoders.Responses(),
                                        new HttpRequestEncoder(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new ResponseHandler());
                    }
                });
    }

    @Override
    public void list(long call, boolean quorum) {
        startCall(call, quorum || settings.reads() == Reads.CONSISTENT, -1);
    }

    @Override
    public void watch(long call, long revision) {
        startCall(call, false, revision);
    }

    @Override
    // A blocking query ends by itself when its wait time is over.
    public void requestProgress(long call) {}

    @Override
    public void endCall(boolean failed) {
        boolean unanswered = currentCall != 0;
        currentCall = 0;
        if (channel != null && (failed || unanswered)) {
            // A late response would be taken for the response to the next call.
            channel.close();
            channel = null;
        }
        if (failed) {
            members.moveToNext();
        }
    }

    private void startCall(long call, boolean quorum, long waitIndex) {
        currentCall = call;
        quorumRead = quorum;
        QueryStringEncoder uri = new QueryStringEncoder(
                settings.service() == null
                        ? "/v1/kv/" + settings.prefix()
                        : "/v1/health/service/" + settings.service());
        if (settings.service() == null) {
            uri.addParam("recurse", "true");
        }
        if (waitIndex >= 0) {
            uri.addParam("index", String.valueOf(waitIndex));
            // Consul adds up to a sixteenth to the wait time, and the response must arrive before the call is
            // considered failed.
            uri.addParam("wait", settings.limits().silenceTimeoutMicros() / 2_000 + "ms");
        }
        if (quorum || settings.reads() == Reads.CONSISTENT) {
            uri.addParam("consistent", "true");
        } else if (settings.reads() == Reads.STALE) {
            uri.addParam("stale", "true");
        }
        if (channel != null && channel.isActive()) {
            sendRequest(call, uri.toString());
            return;
        }
        ChannelFuture connecting = bootstrap.connect(members.current());
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                // The connection of an abandoned call is closed before it can be established.
                sendRequest(call, uri.toString());
            } else {
                callFailed(call, "no connection", false);
            }
        });
    }

    private void sendRequest(long call, String uri) {
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, members.address());
        if (settings.token() != null) {
            request.headers().set("X-Consul-Token", settings.token());
        }
        channel.writeAndFlush(request).addListener(done -> {
            if (!done.isSuccess()) {
                callFailed(call, "connection broken", false);
            }
        });
    }

    private long nowMicros() {
        return transport.nanos() / 1000;
    }

    private void callFailed(long call, String reason, boolean overloaded) {
        follower.callFailed(nowMicros(), call, members.address() + ": " + reason, overloaded);
    }

    private void responseReceived(FullHttpResponse response) {
        long call = currentCall;
        int status = response.status().code();
        if (response.decoderResult().isFailure() || status != 200 && status != 404) {
            callFailed(
                    call,
                    "answer " + status + (status == 403 ? ", the token has no right to " + settings.prefix() : ""),
                    status == 429 || status == 503);
            return;
        }
        if ("false".equals(response.headers().get("X-Consul-KnownLeader"))) {
            callFailed(call, "it knows no leader, and may have been cut off", false);
            return;
        }
        long index;
        List<KeyEntry> entries = List.of();
        try (InputStream body = new ByteBufInputStream(response.content())) {
            index = Long.parseLong(String.valueOf(response.headers().get("X-Consul-Index")));
            long lastContactMillis = Long.parseLong(response.headers().get("X-Consul-LastContact", "0"));
            if (1_000 * lastContactMillis > settings.limits().staleAfterMicros()) {
                callFailed(call, "it has not heard of its leader for " + lastContactMillis + " ms", false);
                return;
            }
            if (index < 1) {
                throw new IllegalArgumentException("index " + index);
            }
            if (status == 200) {
                JsonNode root = Config.parseJson(body);
                entries = settings.service() == null
                        ? decodeKeys(root, index)
                        : ConsulHealth.decode(root, settings.prefix(), index);
            }
        } catch (IOException | IllegalArgumentException e) {
            callFailed(
                    call,
                    "unusable answer: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""),
                    false);
            return;
        }
        currentCall = 0;
        if (!HttpUtil.isKeepAlive(response)) {
            channel.close();
            channel = null;
        }
        follower.listReceived(nowMicros(), call, HISTORY, index, quorumRead, entries);
    }

    private List<KeyEntry> decodeKeys(JsonNode root, long index) {
        if (root == null || !root.isArray()) {
            throw new IllegalArgumentException("no list of keys");
        }
        List<KeyEntry> entries = new ArrayList<>();
        for (JsonNode item : root) {
            String key = item.path("Key").asText();
            long createRevision = item.path("CreateIndex").asLong();
            long modRevision = item.path("ModifyIndex").asLong();
            if (!key.startsWith(settings.prefix())
                    || createRevision < 1
                    || modRevision < createRevision
                    || modRevision > index) {
                throw new IllegalArgumentException("key or index of " + key);
            }
            // Null if the key was created without a value.
            JsonNode value = item.path("Value");
            byte[] bytes = value.isTextual() ? Base64.getDecoder().decode(value.asText()) : new byte[0];
            entries.add(new KeyEntry(key, new String(bytes, StandardCharsets.UTF_8), createRevision, modRevision));
        }
        return entries;
    }

    /** Passes on the responses of the connection in use. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel && currentCall != 0) {
                responseReceived(response);
            } else {
                // An unsolicited response.
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                channel = null;
                callFailed(currentCall, "connection closed", false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
