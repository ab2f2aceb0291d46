package gatefront.rehearsal.processes;

/**
 * Computes when the bytes of one direction of a connection leave a relay: after the delay of the link, in order, and no
 * faster than its bandwidth. Does no I/O; times are microseconds.
 */
final class TrafficShaper {
    private static final double MICROS_PER_SECOND = 1e6;

    private long lastDeparture = Long.MIN_VALUE;
    private double linkFreeAt = Double.NEGATIVE_INFINITY;

    /** Returns when bytes that arrive now may leave under the present conditions of the link. */
    long departureTime(long now, int bytes, LinkConditions conditions) {
        long due = now + conditions.delayMicros();
        if (conditions.bytesPerSecond() > 0) {
            linkFreeAt = Math.max(linkFreeAt, now) + MICROS_PER_SECOND * bytes / conditions.bytesPerSecond();
            due = Math.max(due, (long) linkFreeAt);
        }
        lastDeparture = Math.max(lastDeparture, due);
        return lastDeparture;
    }
}
