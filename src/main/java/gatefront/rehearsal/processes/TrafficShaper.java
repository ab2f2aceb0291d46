package gatefront.rehearsal.processes;

/**
 * When bytes of one direction of a connection leave a relay: after the delay, in their order, and no faster than the
 * link allows. Pure; times in microseconds.
 */
final class TrafficShaper {
    private static final double MICROS = 1e6;

    private long last = Long.MIN_VALUE;
    private double free = Double.NEGATIVE_INFINITY;

    /** When bytes that have come now may leave, as the link is shaped now. */
    long due(long now, int bytes, LinkConditions shape) {
        long due = now + shape.delayMicros();
        if (shape.bytesASecond() > 0) {
            free = Math.max(free, now) + MICROS * bytes / shape.bytesASecond();
            due = Math.max(due, (long) free);
        }
        last = Math.max(last, due);
        return last;
    }
}
