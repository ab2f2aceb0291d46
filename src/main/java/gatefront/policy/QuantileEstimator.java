package gatefront.policy;

/** Follows a quantile of a stream of positive values, and the lowest it has been. */
final class QuantileEstimator {
    /** Values before the quantile means anything. */
    private static final int MIN_SAMPLES = 50;
    /** A step, as a part of the value. */
    private static final double STEP = 0.02;
    /** What a value adds to the lowest, as a part: an old minimum is forgotten in some ten thousands. */
    private static final double MINIMUM_RISE = 0.00003;

    private final double quantile;
    private double value;
    private double minimum = Double.MAX_VALUE;
    /** The first values, in order of size: steps from a single one would be lost for long. */
    private final double[] firstSamples = new double[MIN_SAMPLES];

    private int count;

    QuantileEstimator(double share) {
        this.quantile = share;
    }

    void add(double x) {
        if (count < MIN_SAMPLES) {
            int at = count++;
            for (; at > 0 && firstSamples[at - 1] > x; at--) {
                firstSamples[at] = firstSamples[at - 1];
            }
            firstSamples[at] = x;
            value = firstSamples[(int) (quantile * count)];
        } else {
            value += x > value ? value * STEP * quantile : value * STEP * (quantile - 1);
        }
        if (isReady()) {
            minimum = Math.min(minimum * (1 + MINIMUM_RISE), value);
        }
    }

    /** Whether enough has been seen for {@link #minimum}. */
    boolean isReady() {
        return count >= MIN_SAMPLES;
    }

    double value() {
        return value;
    }

    double minimum() {
        return minimum;
    }
}
