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
 * The operators' door: {@code GET /healthcheck}, {@code GET /stats}, {@code POST /backends/ID/maint} and
 * {@code POST /backends/ID/ready}. A call that is not one of these changes nothing.
 */
public final class ManagementEndpoint extends OperatorHttpServer {
    private static final int MAX_CONNECTIONS = 24;
    private static final long REQUEST_TIMEOUT_MS = 5_000;
    private static final String BACKENDS = "/backends/";

    /** What the calls are about. */
    public interface Agent {
        /** Whether this process is ready to serve. */
        boolean ready();

        /** The figures, in their order. */
        Map<String, Long> figures();

        /** More lines of the figures, in words. */
        default Map<String, String> textFigures() {
            return Map.of();
        }

        /**
         * Takes a backend out, which holds when this returns, or puts it back, which does soon after.
         *
         * @param then hears what came of it, and whether a restart of the agent would still know it, once that is sure
         */
        void setDrained(String backend, boolean out, BiConsumer<ServerBans.Outcome, Boolean> then);
    }

    private final Agent agent;

    /** Listens to nobody yet. */
    public ManagementEndpoint(Transport transport, InetSocketAddress listen, Agent agent) {
        super(transport, listen, MAX_CONNECTIONS, REQUEST_TIMEOUT_MS);
        this.agent = agent;
    }

    @Override
    protected void call(FullHttpRequest request, Consumer<Reply> answer) {
        String uri = request.uri();
        int end = uri.indexOf('?');
        String path = end < 0 ? uri : uri.substring(0, end);
        if (path.equals("/healthcheck") || path.equals("/stats")) {
            answer.accept(answerRead(request, path));
            return;
        }
        int verb = path.lastIndexOf('/');
        boolean out = path.endsWith("/maint");
        if (!path.startsWith(BACKENDS) || verb <= BACKENDS.length() || !out && !path.endsWith("/ready")) {
            answer.accept(
                    Reply.plain(404, "there are /healthcheck, /stats, /backends/ID/maint and /backends/ID/ready\n"));
            return;
        }
        if (!request.method().equals(HttpMethod.POST)) {
            answer.accept(Reply.plain(405, "POST only\n"));
            return;
        }
        String backend;
        try {
            backend =
                    QueryStringDecoder.decodeComponent(path.substring(BACKENDS.length(), verb), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            backend = "";
        }
        if (backend.isEmpty() || backend.chars().anyMatch(c -> c < ' ')) {
            answer.accept(Reply.plain(400, "an id that cannot be read\n"));
            return;
        }
        agent.setDrained(
                backend,
                out,
                (came, kept) -> answer.accept(
                        switch (came) {
                            case APPLIED -> Reply.plain(
                                    200, (out ? "out" : "back") + (kept ? "\n" : ", and not kept over a restart\n"));
                            case UNKNOWN_SERVER -> Reply.plain(404, "nobody has this id\n");
                            case TOO_MANY -> Reply.plain(503, "too many are out by hand\n");
                        }));
    }

    private Reply answerRead(FullHttpRequest request, String path) {
        if (!request.method().equals(HttpMethod.GET)) {
            return Reply.plain(405, "GET only\n");
        }
        if (path.equals("/stats")) {
            return Reply.plain(200, text(agent.figures()) + text(agent.textFigures()));
        }
        return agent.ready() ? Reply.plain(200, "ready\n") : Reply.plain(503, "not ready\n");
    }

    private static String text(Map<String, ?> figures) {
        StringBuilder text = new StringBuilder();
        figures.forEach(
                (name, value) -> text.append(name).append('=').append(value).append('\n'));
        return text.toString();
    }
}
