package gatefront.status;

import gatefront.budget.Budget;
import gatefront.transport.Transport;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;

/** Answers {@code GET /status} and {@code GET /status.json}, one request a connection. */
public final class StatusFront {
    private static final int CONNECTIONS_MOST = 4;
    private static final long PATIENCE_MS = 2_000;

    private final Budget budget;
    private final CallServer server;

    /** Listens to nobody yet. */
    public StatusFront(Transport transport, InetSocketAddress listen, Budget budget) {
        this.budget = budget;
        this.server = new CallServer(transport, listen, CONNECTIONS_MOST, PATIENCE_MS, this::page);
    }

    /** Begins to listen; the future tells whether it could. */
    public ChannelFuture listen() {
        return server.listen();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Ends. */
    public void close() {
        server.close();
    }

    private CallServer.Reply page(FullHttpRequest request) {
        boolean json = request.uri().equals("/status.json");
        if (!request.method().equals(HttpMethod.GET) || !json && !request.uri().equals("/status")) {
            return CallServer.Reply.plain(404, "there are /status and /status.json\n");
        }
        return json ? new CallServer.Reply(200, "application/json",
            StatusPage.json(budget, ProcessFigures.now()) + "\n")
            : CallServer.Reply.plain(200, StatusPage.text(budget, ProcessFigures.now()));
    }
}
