package gatefront.transport;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Records when an event loop last polled its sockets, and reports polls that came late because the process was
 * suspended or the loop was busy. What a poll finds ready has arrived after the poll before it. Confined to the loop's
 * thread.
 */
final class PollTimes {
    /** Lateness of a poll from which on it is reported. */
    private static final long REPORTED_LATENESS_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final LongConsumer latenessListener;
    private long latestPollNanos;
    private long previousPollNanos;
    /** When the poll in progress has to end at the latest, as a timer or a task is due then. */
    private long dueNanos;

    private boolean hasPolled;

    /**
     * Creates a record without polls.
     *
     * @param latenessListener receives the lateness of each late poll, in nanoseconds
     */
    PollTimes(LongConsumer latenessListener) {
        this.latenessListener = latenessListener;
    }

    /** Returns a factory of handlers that poll as those of {@code factory} do and are recorded here. */
    IoHandlerFactory recording(IoHandlerFactory factory) {
        return executor -> new RecordingHandler(factory.newHandler(executor));
    }

    /** Returns when the poll before the latest one ended; what was read since the latest one has arrived after that. */
    long previousPollNanos() {
        return previousPollNanos;
    }

    private void beginPoll(long nowNanos, long maxBlockNanos) {
        // The loop has been busy since the latest poll, so that this one is late already if that took long.
        dueNanos = (hasPolled ? latestPollNanos : nowNanos) + maxBlockNanos;
    }

    private void endPoll(long nowNanos) {
        previousPollNanos = hasPolled ? latestPollNanos : nowNanos;
        latestPollNanos = nowNanos;
        hasPolled = true;
        if (nowNanos - dueNanos >= REPORTED_LATENESS_NANOS) {
            latenessListener.accept(nowNanos - dueNanos);
        }
    }

    /** Passes all calls on, and records each poll. */
    private final class RecordingHandler implements IoHandler {
        private final IoHandler delegate;
        private final RecordingContext recordingContext = new RecordingContext();

        private RecordingHandler(IoHandler delegate) {
            this.delegate = delegate;
        }

        @Override
        public void initialize() {
            delegate.initialize();
        }

        @Override
        public int run(IoHandlerContext context) {
            // The context counts from the origin of System.nanoTime(), unlike the ticker.
            long maxBlockNanos = context.canBlock() ? Math.max(0, context.delayNanos(System.nanoTime())) : 0;
            beginPoll(Ticker.systemTicker().nanoTime(), maxBlockNanos);
            recordingContext.delegate = context;
            return delegate.run(recordingContext);
        }

        @Override
        public void prepareToDestroy() {
            delegate.prepareToDestroy();
        }

        @Override
        public void destroy() {
            delegate.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return delegate.register(handle);
        }

        @Override
        public void wakeup() {
            delegate.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> handleType) {
            return delegate.isCompatible(handleType);
        }
    }

    /** The context of a poll. Handlers ask it once after polling, before they process what is ready. */
    private final class RecordingContext implements IoHandlerContext {
        private IoHandlerContext delegate;

        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return delegate.delayNanos(currentTimeNanos);
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            delegate.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            endPoll(Ticker.systemTicker().nanoTime());
            return delegate.shouldReportActiveIoTime();
        }
    }
}
