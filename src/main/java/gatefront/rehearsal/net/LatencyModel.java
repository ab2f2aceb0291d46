package gatefront.rehearsal.net;

/** How long what one host sends to another takes. Pure but for its random source. */
public interface LatencyModel {
    /**
     * The way of one segment.
     *
     * @param from who sends
     * @param to who gets it
     * @param bytes how much
     * @return nanoseconds until it is there
     */
    long delayNanos(VirtualHost from, VirtualHost to, int bytes);
}
