package gatefront.padron;

import com.fasterxml.jackson.databind.JsonNode;
import gatefront.config.Config;
import gatefront.config.EndpointJson;
import gatefront.http.codec.StrictHttpDecoders;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.ListKind;
import gatefront.transport.Transport;
import gatefront.transport.UnopenedChannel;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
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
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Follows the server list of the padrón: one full list, then one watch after the other on one connection. A response
 * that is overdue is requested again on another connection, and whichever response arrives first is used: a connection
 * that has fallen silent cannot be told from a discovery service that is slow. Runs on the agent's event loop.
 */
public final class Discovery {
    /** Receives the results. */
    public interface Listener {
        /** Reports a full server list or changes to it. */
        void listReceived(ListKind kind, List<Endpoint> endpoints);

        /**
         * Reports that a request failed. The next one is sent after the backoff, or when {@link #watch()} is called.
         */
        void requestFailed(String reason);
    }

    /** A decoded response. */
    public record ServerListResponse(long index, boolean snapshot, List<Endpoint> endpoints) {}

    /**
     * A call whose response is late and still accepted.
     *
     * @param channel the connection that it was sent on
     * @param since the version that its response continues from; negative for the full list
     */
    private record OverdueCall(Channel channel, long since) {}

    /** A response with status 200 that cannot be applied to the present list. */
    private static final class UnusableListException extends Exception {
        private static final long serialVersionUID = 1L;

        UnusableListException(String reason) {
            super(reason);
        }
    }

    /** How long a watch waits for changes. It is short, so that a silent discovery service is detected soon. */
    private static final long WATCH_WAIT_MS = 5_000;
    /** How much longer than its wait time a request may take until it is repeated on another connection. */
    private static final long RESPONSE_TIMEOUT_MS = 2_000;
    /** Responses that are awaited beside the one to the request in progress; beyond that the oldest is given up. */
    private static final int MAX_OVERDUE_CALLS = 3;

    private static final long MIN_BACKOFF_MS = 50;
    private static final long MAX_BACKOFF_MS = 1_000;
    /**
     * While discovery reports overload, the backoff may grow to the time within which it is to be asked, divided by
     * this.
     */
    private static final long OVERLOAD_BACKOFF_DIVISOR = 4;
    /**
     * Pause before the next watch after one without changes: discovery may respond without waiting and would be
     * flooded.
     */
    private static final long EMPTY_PAUSE_MS = 20;
    /**
     * Pause before the next watch after one with changes, with as much jitter: changes come in bursts, and every agent
     * would send a request for each. Discovery continues a watch if the next request arrives within 200 ms, and
     * reports the changes made until then.
     */
    private static final long CHANGE_PAUSE_MS = 60;

    private static final int MAX_LIST_BYTES = 4 << 20;

    private final Transport transport;
    private final EventLoop loop;
    private final Config config;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private InetSocketAddress address;
    private Channel channel;
    /** The version of the list last received; negative while the full list is needed. */
    private long index = -1;

    private boolean watching;
    private boolean closed;
    /** The number of the present request; events of earlier ones are ignored. */
    private int currentRequest;
    /** The timeout of the request in progress; null while there is none. */
    private Future<?> timeout;
    /**
     * Calls whose responses are late, the oldest first. One leaves when its connection closes; all leave when a list
     * arrives, when another full list is wanted, and at the end.
     */
    private final Deque<OverdueCall> overdueCalls = new ArrayDeque<>();

    /** Guards against agents that fail together and retry together. */
    private final SplittableRandom jitter;

    private long backoffMs = MIN_BACKOFF_MS;

    /** Creates a follower of the server list that is started by {@link #watch()}. */
    public Discovery(Transport transport, Config config, Listener listener) {
        this.transport = transport;
        this.loop = transport.loop();
        this.config = config;
        this.address = config.discovery();
        this.listener = listener;
        this.jitter = new SplittableRandom(config.seed());
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(UnopenedChannel.insteadOfFailureOf(transport.clientChannels()))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) RESPONSE_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .disableResolver()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(
                                        new StrictHttpDecoders.Responses(),
                                        new HttpRequestEncoder(),
                                        new HttpObjectAggregator(MAX_LIST_BYTES),
                                        new ResponseHandler());
                    }
                });
    }

    /** Starts to follow the list; also sends the next request after a failure if the policy decides when to retry. */
    public void watch() {
        if (!watching) {
            watching = true;
            scheduleRequest(0);
        }
    }

    /** Sends a request for the full list without delay. */
    public void fetchFullList() {
        index = -1;
        watching = true;
        abandonRequest();
        abandonOverdueCalls();
        scheduleRequest(0);
    }

    /**
     * Follows the list at another address from now on. Versions of the old address are not valid there, so the full
     * list is requested first; the old list stays in use until it arrives.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        if (!closed && !newAddress.equals(address)) {
            address = newAddress;
            backoffMs = MIN_BACKOFF_MS;
            fetchFullList();
        }
    }

    /** Stops following the server list and closes the connection to discovery. */
    public void close() {
        closed = true;
        abandonRequest();
        abandonOverdueCalls();
    }

    private void abandonRequest() {
        currentRequest++;
        cancelTimeout();
        if (channel != null) {
            channel.close();
            channel = null;
        }
    }

    private void abandonOverdueCalls() {
        List<OverdueCall> abandoned = List.copyOf(overdueCalls);
        overdueCalls.clear();
        abandoned.forEach(call -> call.channel.close());
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    private void scheduleRequest(long delayMs) {
        int requestNumber = ++currentRequest;
        loop.schedule(
                () -> {
                    if (requestNumber == currentRequest && !closed) {
                        startRequest(requestNumber);
                    }
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    private void startRequest(int requestNumber) {
        long waitMs = index < 0 ? 0 : WATCH_WAIT_MS;
        timeout = loop.schedule(
                () -> requestTimedOut(requestNumber), waitMs + RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (channel != null && channel.isActive()) {
            sendRequest(requestNumber);
            return;
        }
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                // The connection of an abandoned request is closed before it can be established.
                sendRequest(requestNumber);
            } else {
                if (requestNumber == currentRequest && isRefused(done.cause())) {
                    index = -1;
                }
                requestFailed(requestNumber, "no connection");
            }
        });
    }

    /**
     * Returns whether the process at the address has ended. Guards against taking the next one there for the same,
     * which may count versions of its own.
     */
    private static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    }

    private void sendRequest(int requestNumber) {
        String uri = index < 0 ? "/v1/servers" : "/v1/servers?since=" + index + "&timeout_ms=" + WATCH_WAIT_MS;
        var request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, "discovery");
        channel.writeAndFlush(request).addListener(done -> {
            if (!done.isSuccess()) {
                requestFailed(requestNumber, "connection broken");
            }
        });
    }

    private void requestTimedOut(int requestNumber) {
        if (requestNumber == currentRequest && channel != null) {
            // Guards against dropping a list that arrived while the loop was held up; it begins another request.
            transport.readArrivedInput(channel);
        }
        if (requestNumber == currentRequest && channel != null && channel.isActive()) {
            continueAwaiting();
        }
        requestFailed(requestNumber, "no answer");
    }

    /**
     * Keeps the connection of the request in progress open for its response. Guards against a discovery service that
     * takes longer for each response than the timeout: if every call were given up, no list would ever arrive.
     */
    private void continueAwaiting() {
        if (overdueCalls.size() == MAX_OVERDUE_CALLS) {
            overdueCalls.poll().channel.close();
        }
        overdueCalls.add(new OverdueCall(channel, index));
        channel = null;
    }

    private void requestFailed(int requestNumber, String reason) {
        requestFailed(requestNumber, reason, MAX_BACKOFF_MS);
    }

    private void requestFailed(int requestNumber, String reason, long maxBackoffMs) {
        if (requestNumber != currentRequest || closed) {
            return;
        }
        abandonRequest();
        if (config.settings().askDiscovery()) {
            // The policy decides when to send the next request.
            watching = false;
        } else {
            // Uses full jitter: doubled delays alone would keep agents that started together synchronised.
            scheduleRequest(jitter.nextLong(backoffMs + 1));
            backoffMs = Math.max(MIN_BACKOFF_MS, Math.min(2 * backoffMs, maxBackoffMs));
        }
        listener.requestFailed(reason);
    }

    private void responseReceived(FullHttpResponse response) {
        cancelTimeout();
        if (!isSuccessful(response)) {
            requestFailed(
                    currentRequest,
                    "answer " + response.status().code(),
                    response.status().code() == 503
                            ? Math.max(
                                    MAX_BACKOFF_MS,
                                    config.settings().obligations().askWithin() / 1000 / OVERLOAD_BACKOFF_DIVISOR)
                            : MAX_BACKOFF_MS);
            return;
        }
        ServerListResponse list;
        try {
            list = readList(response);
        } catch (UnusableListException e) {
            // Guards against changes that are lost: the old list stays in use, and the full list is requested.
            index = -1;
            requestFailed(currentRequest, e.getMessage());
            return;
        }
        applyList(list, HttpUtil.isKeepAlive(response));
    }

    /** Uses a late response in place of the one to the repeated request, unless it is of no use. */
    private void overdueResponseReceived(OverdueCall call, FullHttpResponse response) {
        overdueCalls.remove(call);
        if (!isSuccessful(response) || call.since != index) {
            call.channel.close();
            return;
        }
        ServerListResponse list;
        try {
            list = readList(response);
        } catch (UnusableListException e) {
            call.channel.close(); // the failure of the call has been reported, and it is being repeated
            return;
        }
        abandonRequest();
        channel = call.channel;
        watching = true;
        applyList(list, HttpUtil.isKeepAlive(response));
    }

    private static boolean isSuccessful(FullHttpResponse response) {
        return !response.decoderResult().isFailure() && response.status().code() == 200;
    }

    private ServerListResponse readList(FullHttpResponse response) throws UnusableListException {
        ServerListResponse list;
        try (InputStream body = new ByteBufInputStream(response.content())) {
            list = decode(Config.parseJson(body), config);
        } catch (IOException | IllegalArgumentException e) {
            throw new UnusableListException("unusable list: "
                    + String.valueOf(e.getMessage()).lines().findFirst().orElse(""));
        }
        if (!list.snapshot() && list.index() < index) {
            // Guards against changes of another history, as after a restart from an older copy.
            throw new UnusableListException("the list's version went back to " + list.index());
        }
        return list;
    }

    /** Passes a list on and schedules the next watch, on the same connection if that is kept. */
    private void applyList(ServerListResponse list, boolean keepsConnection) {
        index = list.index();
        // Halves the backoff instead of resetting it: one response does not mean that the overload has ended.
        backoffMs = Math.max(MIN_BACKOFF_MS, backoffMs / 2);
        abandonOverdueCalls();
        if (!keepsConnection) {
            abandonRequest();
        }
        boolean hasChanges = list.snapshot() || !list.endpoints().isEmpty();
        scheduleRequest(hasChanges ? CHANGE_PAUSE_MS + jitter.nextLong(CHANGE_PAUSE_MS) : EMPTY_PAUSE_MS);
        if (hasChanges) {
            listener.listReceived(list.snapshot() ? ListKind.FULL : ListKind.DELTA, list.endpoints());
        }
    }

    /** Decodes a server list; an invalid entry makes the whole list invalid. */
    public static ServerListResponse decode(JsonNode root, Config config) {
        if (root == null
                || !root.path("endpoints").isArray()
                || !root.path("index").canConvertToLong()) {
            throw new IllegalArgumentException("no list of servers");
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (JsonNode entry : root.get("endpoints")) {
            endpoints.add(EndpointJson.decode(entry, null, config));
        }
        return new ServerListResponse(
                root.get("index").asLong(), root.path("snapshot").asBoolean(), endpoints);
    }

    private OverdueCall overdueCallOn(Channel callChannel) {
        return overdueCalls.stream()
                .filter(call -> call.channel == callChannel)
                .findFirst()
                .orElse(null);
    }

    /** Passes on the responses of the connection in use, and late ones of those before it. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            OverdueCall overdue = overdueCallOn(ctx.channel());
            if (ctx.channel() == channel && timeout != null) {
                responseReceived(response);
            } else if (overdue != null) {
                overdueResponseReceived(overdue, response);
            } else {
                // An unsolicited response: those that follow would be taken for the responses to later requests.
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            overdueCalls.remove(overdueCallOn(ctx.channel()));
            if (ctx.channel() == channel) {
                requestFailed(currentRequest, "connection closed");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
