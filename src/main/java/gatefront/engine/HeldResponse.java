package gatefront.engine;

import gatefront.budget.ResourceAccount;
import gatefront.shutdown.ResponseForecast;
import gatefront.shutdown.ResponseForecast.Verdict;
import gatefront.transport.Transport;

/**
 * A streamed response of which nothing is passed on to the client until it is complete, or expected to be complete
 * before this process ends. Guards against responses that are cut off by the end of the process: a client that has
 * received nothing can still be told that its request is refused. What is held is counted in an account, and bounded.
 */
final class HeldResponse implements BodyStream.Holder {
    /** Acts on what the held response decides. */
    interface Listener {
        /** The response is to be passed on, from its beginning. */
        void passOn();

        /** The response will not be complete in time; it may still be passed on if it ends before this is acted on. */
        void giveUp();

        /** The account has little room: a response has to be decided on by a guess. */
        void makeRoom();

        /** Nothing is held any more. */
        void released(HeldResponse released);
    }

    /** The most that is held of one response. */
    private static final int MAX_HELD_BYTES = 1 << 20;
    /** Room is made when the account's cap divided by this is in use. */
    private static final int ACCOUNT_DIVISOR = 2;

    private final Transport transport;
    private final ResourceAccount account;
    private final ResponseForecast forecast;
    private final Listener listener;
    private int heldBytes;
    private boolean decided;

    /** Creates a held response of which nothing has arrived; what it holds is counted in {@code account}. */
    HeldResponse(Transport transport, ResourceAccount account, ResponseForecast forecast, Listener listener) {
        this.transport = transport;
        this.account = account;
        this.forecast = forecast;
        this.listener = listener;
    }

    @Override
    public void onHeld(int bytes) {
        forecast.received(transport.nanos(), bytes);
        heldBytes += bytes;
        account.add(0, bytes);
        if (decided) {
            return;
        }
        Verdict verdict = forecast.verdict(transport.nanos());
        if (verdict == Verdict.IN_TIME) {
            passOn();
        } else if (verdict == Verdict.TOO_LATE) {
            giveUp();
        } else if (heldBytes >= MAX_HELD_BYTES || account.isFull()) {
            decide();
        } else if (account.bytes() >= account.bytesCap() / ACCOUNT_DIVISOR) {
            listener.makeRoom();
        }
    }

    @Override
    public void onEnd(boolean complete) {
        if (complete) {
            passOn();
        }
        release();
    }

    /** Passes the response on if it is guessed to be complete in time; returns whether it was. */
    boolean passOnIfInTime() {
        boolean inTime = !decided && forecast.guess(transport.nanos()) == Verdict.IN_TIME;
        if (inTime) {
            passOn();
        }
        return inTime;
    }

    /** Decides by a guess if there is one and nothing was decided before; returns whether it has. */
    boolean decideByGuess() {
        Verdict guess = decided ? Verdict.OPEN : forecast.guess(transport.nanos());
        if (guess == Verdict.IN_TIME) {
            passOn();
        } else if (guess == Verdict.TOO_LATE) {
            giveUp();
        }
        return guess != Verdict.OPEN;
    }

    /** Decides although nothing is known yet, as no more can be held. */
    private void decide() {
        if (decideByGuess()) {
            return;
        }
        if (forecast.isFastEnough(transport.nanos())) {
            passOn();
        } else {
            giveUp();
        }
    }

    private void passOn() {
        decided = true;
        release();
        listener.passOn();
    }

    private void giveUp() {
        decided = true;
        listener.giveUp();
    }

    private void release() {
        account.shrink(heldBytes);
        heldBytes = 0;
        listener.released(this);
    }
}
