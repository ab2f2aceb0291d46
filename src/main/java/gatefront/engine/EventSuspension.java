package gatefront.engine;

import gatefront.recovery.StallDetector;
import gatefront.transport.Transport;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Holds back the events of the decision module while a detector doubts what this process knows of the servers, as after
 * a start or a stall. Confined to the event loop.
 */
final class EventSuspension {
    private final Transport transport;
    /** Detects that this process was suspended for a while; null when no such check is active. */
    private StallDetector detector;

    private Runnable stallAction;
    private long recheckMs;
    /** Events that wait for a full server list; bounded by what arrives during that wait. */
    private final List<Runnable> deferredEvents = new ArrayList<>();

    /** Creates a suspension without a detector, which defers nothing. */
    EventSuspension(Transport transport) {
        this.transport = transport;
    }

    /** Sets the detector; see {@link Engine#setStallDetector}. */
    void setDetector(StallDetector newDetector, long newRecheckMs, Runnable newStallAction) {
        detector = newDetector;
        recheckMs = newRecheckMs;
        stallAction = newStallAction;
        scheduleCheck();
    }

    /** Checks for a stall, as there may be no other event that does. */
    void check() {
        if (!isSuspended()) {
            releaseDeferred();
        }
    }

    /** Notes that a full server list has arrived, and runs the deferred events. */
    void fullListReceived() {
        if (detector != null) {
            detector.serverListReceived();
            releaseDeferred();
        }
    }

    /** Returns whether events are held back at present; if so, this one runs later. */
    boolean defers(Runnable event) {
        boolean suspended = isSuspended();
        if (suspended) {
            deferredEvents.add(event);
        }
        return suspended;
    }

    private void scheduleCheck() {
        transport.loop().schedule(this::check, recheckMs + 1, TimeUnit.MILLISECONDS);
    }

    private boolean isSuspended() {
        if (detector == null) {
            return false;
        }
        long nowMicros = transport.nanos() / 1000;
        if (detector.recordEvent(nowMicros)) {
            stallAction.run();
            scheduleCheck();
        }
        return detector.awaitingServerList(nowMicros);
    }

    private void releaseDeferred() {
        if (detector != null && !detector.detectsStalls()) {
            detector = null;
        }
        if (!deferredEvents.isEmpty()) {
            List<Runnable> events = List.copyOf(deferredEvents);
            deferredEvents.clear();
            events.forEach(Runnable::run);
        }
    }
}
