package gatefront.policy;

/** Follows a quantile of a stream of positive values, and the lowest it has been. */
final class QuantileEstimator {
    /** Values before the quantile means anything. */
    private static final int ENOUGH = 50;
    /** A step, as a part of the value. */
    private static final double STEP = 0.02;
    /** What a value adds to the lowest, as a part: an old minimum is forgotten in some ten thousands. */
    private static final double RISE = 0.00003;

    private final double share;
    private double value;
    private double lowest = Double.MAX_VALUE;
    /** The first values, in order of size: steps from a single one would be lost for long. */
    private final double[] first = new double[ENOUGH];

    private int count;

    QuantileEstimator(double share) {
        this.share = share;
    }

    void add(double x) {
        if (count < ENOUGH) {
            int at = count++;
            for (; at > 0 && first[at - 1] > x; at--) {
                first[at] = first[at - 1];
            }
            first[at] = x;
            value = first[(int) (share * count)];
        } else {
            value += x > value ? value * STEP * share : value * STEP * (share - 1);
        }
        if (known()) {
            lowest = Math.min(lowest * (1 + RISE), value);
        }
    }

    /** Whether enough has been seen for {@link #lowest}. */
    boolean known() {
        return count >= ENOUGH;
    }

    double value() {
        return value;
    }

    double lowest() {
        return lowest;
    }
}
