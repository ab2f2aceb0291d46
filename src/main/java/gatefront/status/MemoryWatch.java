package gatefront.status;

import gatefront.budget.UnaccountedMemory;
import gatefront.transport.Transport;
import java.util.concurrent.TimeUnit;

/** Logs when the process grows by more than the heap and the buffers account for. */
public final class MemoryWatch {
    private static final long MAX_UNACCOUNTED_BYTES = 32 << 20;
    private static final long CHECK_INTERVAL_SECONDS = 60;

    private final Transport transport;
    private final UnaccountedMemory unaccountedMemory = new UnaccountedMemory(MAX_UNACCOUNTED_BYTES);

    /** Creates a watch that is not started. */
    public MemoryWatch(Transport transport) {
        this.transport = transport;
    }

    /** Checks once a minute from now on, for as long as the loop runs. */
    public void start() {
        transport
                .loop()
                .scheduleWithFixedDelay(this::check, CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_SECONDS, TimeUnit.SECONDS);
    }

    private void check() {
        ProcessMetrics now = ProcessMetrics.now();
        long growthBytes = unaccountedMemory.observe(now.resident(), now.heapCommitted(), now.buffers());
        if (growthBytes > 0) {
            transport.log(
                    "memory: the process has grown by " + (growthBytes >> 20) + " MiB that neither heap nor buffers "
                            + "account for; " + (now.resident() >> 20) + " MiB are resident");
        }
    }
}
