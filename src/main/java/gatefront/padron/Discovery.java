package gatefront.padron;

import com.fasterxml.jackson.databind.JsonNode;
import gatefront.config.Config;
import gatefront.config.EndpointJson;
import gatefront.http.codec.StrictHttpDecoders;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.ListKind;
import gatefront.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Follows the server list: the whole list once, then one watch after the other on one connection. All of it
 * runs on the agent's event loop.
 */
public final class Discovery {
    /** What the agent hears. */
    public interface Listener {
        /** A list has come. */
        void list(ListKind kind, List<Endpoint> endpoints);

        /** A call has failed; the next is made after the back-off, or when asked for. */
        void failed(String why);
    }

    /** A decoded answer. */
    public record Listing(long index, boolean snapshot, List<Endpoint> endpoints) {}

    /** How long a watch waits for news. Short enough that a silent discovery is soon asked again. */
    private static final long WATCH_MS = 5_000;
    /** How much longer than its wait a call may take. */
    private static final long ANSWER_MS = 2_000;

    private static final long BACKOFF_LEAST_MS = 50;
    private static final long BACKOFF_MOST_MS = 1_000;
    /** And where it says that it has too much to do, a part of the time within which it is to be asked. */
    private static final long OVERBOOKED_PART = 4;
    /** Before the next watch when one brought nothing: discovery may answer at once, and would be flooded. */
    private static final long EMPTY_PAUSE_MS = 20;
    /**
     * Before the next watch when one brought news, with as much jitter: changes come in waves, and every agent would
     * come back for each. A watch goes on if the next call comes within 200 ms; what changes until then counts as told.
     */
    private static final long NEWS_PAUSE_MS = 60;

    private static final int LIST_BYTES_MAX = 4 << 20;

    private final EventLoop loop;
    private final Config config;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private Channel channel;
    /** The version last had; negative while the whole list is needed. */
    private long index = -1;

    private boolean watching;
    private boolean closed;
    /** Numbers the calls: what belongs to an earlier one is disregarded. */
    private int call;
    /** Of the call that is out; null while none is. */
    private Future<?> timeout;
    /** Agents that fail together must not come back together. */
    private final SplittableRandom jitter;

    private long backoff = BACKOFF_LEAST_MS;

    /** Follows nothing yet; {@link #watch()} begins. */
    public Discovery(Transport transport, Config config, Listener listener) {
        this.loop = transport.loop();
        this.config = config;
        this.address = config.discovery();
        this.listener = listener;
        this.jitter = new SplittableRandom(config.seed());
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(transport.clientChannels())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ANSWER_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .disableResolver()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new StrictHttpDecoders.Responses(),
                                        new HttpRequestEncoder(),
                                        new HttpObjectAggregator(LIST_BYTES_MAX),
                                        new Answers());
                    }
                });
    }

    /** Begins to follow the list, or goes on after a failure where that is asked for. */
    public void watch() {
        if (!watching) {
            watching = true;
            next(0);
        }
    }

    /** Gets the whole list with the next call, which is made now. */
    public void fetch() {
        index = -1;
        watching = true;
        drop();
        next(0);
    }

    /**
     * Follows the list at another address from now on. Its versions mean nothing there, so the whole list
     * comes first; until it has come the old one stays.
     */
    public void moveTo(InetSocketAddress to) {
        if (!closed && !to.equals(address)) {
            address = to;
            backoff = BACKOFF_LEAST_MS;
            fetch();
        }
    }

    /** Stops following the server list and closes the connection to discovery. */
    public void close() {
        closed = true;
        drop();
    }

    private void drop() {
        call++;
        over();
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    private void over() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void next(long delayMs) {
        int mine = ++call;
        loop.schedule(
                () -> {
                    if (mine == call && !closed) {
                        ask(mine);
                    }
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    private void ask(int mine) {
        long wait = index < 0 ? 0 : WATCH_MS;
        timeout = loop.schedule(() -> failed(mine, "no answer"), wait + ANSWER_MS, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            write(mine);
            return;
        }
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                write(mine); // that of a call given up is closed before it can come up
            } else {
                failed(mine, "no connection");
            }
        });
    }

    private void write(int mine) {
        String uri = index < 0 ? "/v1/servers" : "/v1/servers?since=" + index + "&timeout_ms=" + WATCH_MS;
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, "discovery");
        channel.writeAndFlush(request).addListener(done -> {
            if (!done.isSuccess()) {
                failed(mine, "connection broken");
            }
        });
    }

    private void failed(int mine, String why) {
        failed(mine, why, BACKOFF_MOST_MS);
    }

    private void failed(int mine, String why, long backoffMost) {
        if (mine != call || closed) {
            return;
        }
        drop();
        if (config.settings().askDiscovery()) {
            watching = false; // the module decides when to ask again
        } else {
            // Full jitter: doubled steps alone keep those that began together in step for ever.
            next(jitter.nextLong(backoff + 1));
            backoff = Math.max(BACKOFF_LEAST_MS, Math.min(2 * backoff, backoffMost));
        }
        listener.failed(why);
    }

    private void answered(FullHttpResponse response) {
        over();
        if (response.decoderResult().isFailure() || response.status().code() != 200) {
            failed(
                    call,
                    "answer " + response.status().code(),
                    response.status().code() == 503
                            ? Math.max(
                                    BACKOFF_MOST_MS,
                                    config.settings().obligations().askWithin() / 1000 / OVERBOOKED_PART)
                            : BACKOFF_MOST_MS);
            return;
        }
        Listing listing;
        try (InputStream body = new ByteBufInputStream(response.content())) {
            listing = decode(Config.parseJson(body), config);
        } catch (IOException | IllegalArgumentException e) {
            // Guards against a list that cannot be read: the old one stays, and the whole is asked for, since
            // what the lost one changed is unknown.
            index = -1;
            failed(
                    call,
                    "unusable list: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
            return;
        }
        if (!listing.snapshot() && listing.index() < index) {
            // Guards against changes of another history, as after a restart from an older copy: the whole is asked for.
            index = -1;
            failed(call, "the list's version went back to " + listing.index());
            return;
        }
        index = listing.index();
        backoff = Math.max(BACKOFF_LEAST_MS, backoff / 2); // one answer does not end the crowd
        if (!HttpUtil.isKeepAlive(response)) {
            drop();
        }
        boolean news = listing.snapshot() || !listing.endpoints().isEmpty();
        next(news ? NEWS_PAUSE_MS + jitter.nextLong(NEWS_PAUSE_MS) : EMPTY_PAUSE_MS);
        if (news) {
            listener.list(listing.snapshot() ? ListKind.FULL : ListKind.DELTA, listing.endpoints());
        }
    }

    /** Decodes a list; an entry that makes no sense makes the whole unusable. */
    public static Listing decode(JsonNode root, Config config) {
        if (root == null
                || !root.path("endpoints").isArray()
                || !root.path("index").canConvertToLong()) {
            throw new IllegalArgumentException("no list of servers");
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonNode entry : root.get("endpoints")) {
            endpoints.add(EndpointJson.decode(entry, null, config));
        }
        return new Listing(root.get("index").asLong(), root.path("snapshot").asBoolean(), endpoints);
    }

    /** Hands on what arrives on the connection in use. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (ctx.channel() == channel && timeout != null) {
                answered(response);
            } else {
                ctx.close(); // an answer to nothing: what follows it would be taken for that to the next call
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                failed(call, "connection closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
