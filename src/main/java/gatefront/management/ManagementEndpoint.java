package gatefront.management;

import gatefront.membership.ServerBans;
import gatefront.status.OperatorHttpServer;
import gatefront.transport.Transport;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The management endpoint for operators: {@code GET /healthcheck}, {@code GET /stats}, {@code POST /backends/ID/maint}
 * and {@code POST /backends/ID/ready}. Any other request is refused and changes nothing.
 */
public final class ManagementEndpoint extends OperatorHttpServer {
    private static final int MAX_CONNECTIONS = 24;
    private static final long REQUEST_TIMEOUT_MS = 5_000;
    private static final String BACKENDS = "/backends/";

    /** The agent that the requests act on. */
    public interface Agent {
        /** Returns whether this process is ready to serve. */
        boolean ready();

        /** Returns the numeric statistics, in the order in which they are printed. */
        Map<String, Long> statistics();

        /** Returns further statistics with text values. */
        default Map<String, String> textStatistics() {
            return Map.of();
        }

        /**
         * Drains a server manually, which takes effect before this method returns, or puts it back, which takes effect
         * soon after.
         *
         * @param callback receives the outcome and whether it would survive a restart of the agent, once both are known
         */
        void setDrained(String server, boolean drained, BiConsumer<ServerBans.Outcome, Boolean> callback);
    }

    private final Agent agent;

    /** Creates an endpoint that is not listening yet. */
    public ManagementEndpoint(Transport transport, InetSocketAddress listen, Agent agent) {
        super(transport, listen, MAX_CONNECTIONS, REQUEST_TIMEOUT_MS);
        this.agent = agent;
    }

    @Override
    protected void handle(FullHttpRequest request, Consumer<Response> responder) {
        String uri = request.uri();
        int queryStart = uri.indexOf('?');
        String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
        if (path.equals("/healthcheck") || path.equals("/stats")) {
            responder.accept(respondToRead(request, path));
            return;
        }
        int actionStart = path.lastIndexOf('/');
        boolean drain = path.endsWith("/maint");
        if (!path.startsWith(BACKENDS) || actionStart <= BACKENDS.length() || !drain && !path.endsWith("/ready")) {
            responder.accept(
                    Response.plain(404, "there are /healthcheck, /stats, /backends/ID/maint and /backends/ID/ready\n"));
            return;
        }
        if (!request.method().equals(HttpMethod.POST)) {
            responder.accept(Response.plain(405, "POST only\n"));
            return;
        }
        String server;
        try {
            server = QueryStringDecoder.decodeComponent(
                    path.substring(BACKENDS.length(), actionStart), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            server = "";
        }
        if (server.isEmpty() || server.chars().anyMatch(c -> c < ' ')) {
            responder.accept(Response.plain(400, "an id that cannot be read\n"));
            return;
        }
        agent.setDrained(
                server,
                drain,
                (outcome, persisted) -> responder.accept(
                        switch (outcome) {
                            case APPLIED -> Response.plain(
                                    200,
                                    (drain ? "out" : "back") + (persisted ? "\n" : ", and not kept over a restart\n"));
                            case UNKNOWN_SERVER -> Response.plain(404, "nobody has this id\n");
                            case TOO_MANY -> Response.plain(503, "too many are out by hand\n");
                        }));
    }

    private Response respondToRead(FullHttpRequest request, String path) {
        if (!request.method().equals(HttpMethod.GET)) {
            return Response.plain(405, "GET only\n");
        }
        if (path.equals("/stats")) {
            return Response.plain(200, text(agent.statistics()) + text(agent.textStatistics()));
        }
        return agent.ready() ? Response.plain(200, "ready\n") : Response.plain(503, "not ready\n");
    }

    private static String text(Map<String, ?> statistics) {
        StringBuilder text = new StringBuilder();
        statistics.forEach(
                (name, value) -> text.append(name).append('=').append(value).append('\n'));
        return text.toString();
    }
}
