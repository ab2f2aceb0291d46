package gatefront.engine;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/** A request in progress, with its attempts and its response. Confined to the event loop. */
final class Pending {
    final long id;
    final ClientRequest request;
    final Exchange exchange;
    final Upstream upstream;
    /** When the client sent the request, as far as is known, on the clock of the transport. */
    final long sentNanos;

    final List<Upstream.Attempt> attempts = new ArrayList<>(1);
    int outstandingAttempts;
    /** Attempts whose request was sent whole, less those that have proved not to have run. */
    int attemptsSent;

    boolean answered;
    /** Whether a response is being streamed to the client. */
    boolean streaming;

    /** Whether it takes a place in the limit of its class. */
    boolean countsInClassLimit = true;

    Payload streamedResponse;
    /** The streamed response while nothing of it is passed on; null otherwise. */
    HeldResponse heldResponse;

    Future<?> deadlineTimer;

    /** Creates a request without attempts. */
    Pending(long id, ClientRequest request, Exchange exchange, Upstream upstream, long sentNanos) {
        this.id = id;
        this.sentNanos = sentNanos;
        this.upstream = upstream;
        this.request = request;
        this.exchange = exchange;
    }

    @Override
    public String toString() {
        return request.id() + " of class " + request.className() + ", " + request.timeoutMs() + " ms, attempts "
                + attempts.size() + ", may have run " + attemptsSent;
    }
}
