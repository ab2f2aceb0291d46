package gatefront.engine;

import gatefront.policy.Balancer;

/** Follows one attempt of a request, and tells the engine and the decision module what becomes of it. */
final class AttemptListener implements Upstream.Listener {
    private static final double[] NO_LOAD_REPORT = new double[0];

    private final Engine engine;
    private final Pending pending;
    private final int attempt;
    private final long server;
    private final long sentAtMicros;
    /** Start of the measured latency; the time of the last byte sent if the body is streamed. */
    private long latencyStartMicros;

    /** How long the server took until its response started; negative before that. */
    private long latencyMicros = -1;

    /** Whether the whole request has been sent. */
    private boolean sent;

    /** Whether the decision module has the outcome, as the response is stalled; it may still be completed. */
    private boolean outcomeReported;

    AttemptListener(Engine engine, Pending pending, int attempt, long server, long sentAtMicros) {
        this.engine = engine;
        this.pending = pending;
        this.attempt = attempt;
        this.server = server;
        this.sentAtMicros = sentAtMicros;
        this.latencyStartMicros = sentAtMicros;
    }

    @Override
    public void onResult(Upstream.Result result) {
        boolean served = result.outcome() == Balancer.Outcome.OK && latencyMicros >= 0;
        if (sent && result.outcome().neverRan()) {
            pending.attemptsSent--;
        }
        engine.attemptEnded(
                pending,
                attempt,
                server,
                served ? latencyMicros : engine.now() - latencyStartMicros,
                result,
                outcomeReported);
    }

    @Override
    public boolean isStillWanted() {
        return engine.isAwaited(pending);
    }

    @Override
    public void onRequestSent() {
        engine.counters().recordAttempt();
        sent = true;
        pending.attemptsSent++;
        if (engine.isTracing()) {
            engine.traceEvent(pending.request, "attempt " + attempt + " written");
        }
        BodyStream upload = pending.request.payload().bodyStream();
        if (upload != null && !pending.answered) {
            // The client's time counts from its last byte, the latency from the server's.
            pending.deadlineTimer.cancel(false);
            engine.startDeadlineTimer(pending, upload.mayBeSentSinceNanos());
            latencyStartMicros = engine.now();
        }
    }

    @Override
    public void onRequestStreaming() {
        pending.deadlineTimer.cancel(false);
        engine.scheduleUploadCheck(pending, pending.request.payload().bodyStream());
        reportStreaming();
    }

    @Override
    public void onResponseStarted() {
        // Sending the response body is not counted as the server's work.
        latencyMicros = engine.now() - latencyStartMicros;
    }

    @Override
    public void onResponseStreaming(Payload response) {
        if (pending.answered || pending.streaming) {
            pending.attempts.get(attempt).cancel();
            return;
        }
        pending.streaming = true;
        pending.streamedResponse = response;
        reportStreaming();
        if (engine.shutdownResponses.isLate(pending)) {
            pending.heldResponse = engine.shutdownResponses.hold(
                    response,
                    () -> engine.passOnResponse(pending),
                    () -> engine.loop.execute(() -> engine.endUnfinishable(pending)));
        } else {
            engine.passOnResponse(pending);
        }
    }

    /**
     * The decision module counts a stalled response as one that has timed out, and the limit of its class does not
     * count it, so that waiting for it costs no other request. Its client waits on, and gets the rest if it comes.
     */
    @Override
    public boolean onResponseStalled() {
        if (pending.exchange.clientPresence() == ClientPresence.LEFT) {
            engine.abandonRequest(pending.exchange);
            return false;
        }
        if (!outcomeReported) {
            outcomeReported = true;
            engine.traceEvent(pending.request, "attempt " + attempt + " is stalled in the middle of its response");
            engine.releaseClassLimit(pending);
            long elapsedMicros = engine.now() - latencyStartMicros;
            engine.dispatch(
                    pending,
                    () -> engine.balancer.outcome(
                            engine.now(),
                            pending.id,
                            attempt,
                            server,
                            Balancer.Outcome.TIMEOUT,
                            elapsedMicros,
                            true,
                            NO_LOAD_REPORT));
        }
        return true;
    }

    private void reportStreaming() {
        engine.dispatch(
                pending,
                () -> engine.balancer.streamStarted(
                        engine.now(), pending.id, attempt, server, engine.now() - sentAtMicros));
    }
}
