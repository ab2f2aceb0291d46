package gatefront.rehearsal.processes;

/**
 * When bytes of one direction of a connection leave a relay: after the delay, in their order, and no faster than the
 * link allows. Pure; times in microseconds.
 */
final class TrafficShaper {
    private static final double MICROS = 1e6;

    private long lastDeparture = Long.MIN_VALUE;
    private double linkFreeAt = Double.NEGATIVE_INFINITY;

    /** When bytes that have come now may leave, as the link is shaped now. */
    long departureTime(long now, int bytes, LinkConditions shape) {
        long due = now + shape.delayMicros();
        if (shape.bytesPerSecond() > 0) {
            linkFreeAt = Math.max(linkFreeAt, now) + MICROS * bytes / shape.bytesPerSecond();
            due = Math.max(due, (long) linkFreeAt);
        }
        lastDeparture = Math.max(lastDeparture, due);
        return lastDeparture;
    }
}
