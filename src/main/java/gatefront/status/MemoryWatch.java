package gatefront.status;

import gatefront.budget.UnaccountedMemory;
import gatefront.transport.Transport;
import java.util.concurrent.TimeUnit;

/** Says it when the process grows and neither heap nor buffers account for it. */
public final class MemoryWatch {
    private static final long GROWN_MOST = 32 << 20;
    private static final long LOOK_SECONDS = 60;

    private final Transport transport;
    private final UnaccountedMemory unexplained = new UnaccountedMemory(GROWN_MOST);

    /** Looks at nothing yet. */
    public MemoryWatch(Transport transport) {
        this.transport = transport;
    }

    /** Looks once a minute from now on, for as long as the loop runs. */
    public void start() {
        transport.loop().scheduleWithFixedDelay(this::look, LOOK_SECONDS, LOOK_SECONDS, TimeUnit.SECONDS);
    }

    private void look() {
        ProcessMetrics now = ProcessMetrics.now();
        long grown = unexplained.observe(now.resident(), now.heapTaken(), now.buffers());
        if (grown > 0) {
            transport.log("memory: the process has grown by " + (grown >> 20) + " MiB that neither heap nor buffers "
                    + "account for; it has " + (now.resident() >> 20) + " MiB in all");
        }
    }
}
