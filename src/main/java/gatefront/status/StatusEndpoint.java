package gatefront.status;

import gatefront.budget.ResourceBudget;
import gatefront.transport.Transport;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Serves {@code GET /status} and {@code GET /status.json}, one request a connection. */
public final class StatusEndpoint extends OperatorHttpServer {
    private static final int MAX_CONNECTIONS = 4;
    private static final long REQUEST_TIMEOUT_MS = 2_000;

    private final ResourceBudget budget;

    /** Creates an endpoint that does not listen until {@link #listen()} is called. */
    public StatusEndpoint(Transport transport, InetSocketAddress listen, ResourceBudget budget) {
        super(transport, listen, MAX_CONNECTIONS, REQUEST_TIMEOUT_MS);
        this.budget = budget;
    }

    @Override
    protected void handle(FullHttpRequest request, Consumer<Response> responder) {
        responder.accept(respond(request));
    }

    private Response respond(FullHttpRequest request) {
        boolean json = request.uri().equals("/status.json");
        if (!request.method().equals(HttpMethod.GET) || !json && !request.uri().equals("/status")) {
            return Response.plain(404, "there are /status and /status.json\n");
        }
        return json
                ? new Response(200, "application/json", StatusPage.json(budget, ProcessMetrics.now()) + "\n")
                : Response.plain(200, StatusPage.text(budget, ProcessMetrics.now()));
    }
}
