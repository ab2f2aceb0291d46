package gatefront.policy;

/** Estimates a quantile of a stream of positive samples, and tracks the minimum of that estimate. */
final class QuantileEstimator {
    /** Number of samples before the estimate is meaningful. */
    private static final int MIN_SAMPLES = 50;
    /** Step of the estimate, relative to its value. */
    private static final double STEP = 0.02;
    /**
     * Relative increase of the minimum with each sample: an old minimum is forgotten after some ten thousand samples.
     */
    private static final double MINIMUM_RISE = 0.00003;

    private final double quantile;
    private double value;
    private double minimum = Double.MAX_VALUE;
    /** The first samples, sorted. An estimate that started from a single sample would be wrong for long. */
    private final double[] firstSamples = new double[MIN_SAMPLES];

    private int count;

    QuantileEstimator(double quantile) {
        this.quantile = quantile;
    }

    void add(double sample) {
        if (count < MIN_SAMPLES) {
            int index = count++;
            for (; index > 0 && firstSamples[index - 1] > sample; index--) {
                firstSamples[index] = firstSamples[index - 1];
            }
            firstSamples[index] = sample;
            value = firstSamples[(int) (quantile * count)];
        } else {
            value += sample > value ? value * STEP * quantile : value * STEP * (quantile - 1);
        }
        if (isReady()) {
            minimum = Math.min(minimum * (1 + MINIMUM_RISE), value);
        }
    }

    /** Returns whether there are enough samples for {@link #minimum}. */
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
