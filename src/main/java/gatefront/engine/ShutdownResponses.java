package gatefront.engine;

import gatefront.budget.ResourceAccount;
import gatefront.shutdown.ResponseForecast;
import gatefront.transport.Transport;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Holds streamed responses back in a shutdown where their requests arrive so late that the process may be killed before
 * the responses are complete. Guards against responses that are cut off: one that has begun has no deadline. Confined
 * to the event loop.
 */
final class ShutdownResponses {
    private final Transport transport;
    /** Counts the bytes that are held. */
    private final ResourceAccount account;
    /** The responses that are held, the oldest first; each leaves when it is passed on, or ends. */
    private final Set<HeldResponse> held = new LinkedHashSet<>();

    private boolean begun;
    private long lateNanos;
    private long endNanos;

    /** Creates an instance that holds nothing back before {@link #begin} is called. */
    ShutdownResponses(Transport transport, ResourceAccount account) {
        this.transport = transport;
        this.account = account;
    }

    /**
     * Begins the shutdown. Times are those of the transport's clock.
     *
     * @param newLateNanos responses to requests that arrive later than this are held back
     * @param newEndNanos when the responses have to be complete
     */
    void begin(long newLateNanos, long newEndNanos) {
        begun = true;
        lateNanos = newLateNanos;
        endNanos = newEndNanos;
    }

    /** Returns whether the response to a request that has arrived is to be held back. */
    boolean isLate(Pending pending) {
        if (!begun) {
            return false;
        }
        BodyStream upload = pending.request.payload().bodyStream();
        long sentNanos = upload == null ? pending.sentNanos : upload.mayBeSentSinceNanos();
        return sentNanos - lateNanos > 0;
    }

    /**
     * Holds back a response of which nothing has arrived yet.
     *
     * @param passOn has to attach a consumer to the response's body
     * @param giveUp has to end the request, unless the response has been passed on; must not close connections at once,
     *     as the response is being read
     */
    HeldResponse hold(Payload response, Runnable passOn, Runnable giveUp) {
        var forecast = new ResponseForecast(response.bodyLength(), endNanos);
        HeldResponse heldResponse = new HeldResponse(transport, account, forecast, new HeldResponse.Listener() {
            @Override
            public void passOn() {
                passOn.run();
            }

            @Override
            public void giveUp() {
                giveUp.run();
            }

            @Override
            public void makeRoom() {
                decideOnOne();
            }

            @Override
            public void released(HeldResponse released) {
                held.remove(released);
            }
        });
        held.add(heldResponse);
        response.bodyStream().hold(heldResponse);
        return heldResponse;
    }

    /** Decides on the response that has been held for longest of those that can be guessed about. */
    private void decideOnOne() {
        for (HeldResponse heldResponse : List.copyOf(held)) {
            if (heldResponse.decideByGuess()) {
                return;
            }
        }
    }
}
