package gatefront.rehearsal.net;

/** Models the latency between hosts. Pure except for its source of random numbers. */
public interface LatencyModel {
    /**
     * Returns the time that one segment takes.
     *
     * @param from the sending host
     * @param to the receiving host
     * @param bytes the size of the segment
     * @return the delay, in nanoseconds
     */
    long delayNanos(VirtualHost from, VirtualHost to, int bytes);
}
