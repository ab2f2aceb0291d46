package gatefront.rehearsal.world;

import java.util.SplittableRandom;

/** Random numbers of one concern, which follow from the rehearsal's seed and the concern's name alone. */
public final class RandomStream {
    private final SplittableRandom random;

    /**
     * A source apart from all others of the same seed.
     *
     * @param seed the rehearsal's
     * @param concern what it is for
     */
    public RandomStream(long seed, String concern) {
        long mixed = seed * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < concern.length(); i++) {
            mixed = (mixed ^ concern.charAt(i)) * 0xbf58476d1ce4e5b9L;
            mixed ^= mixed >>> 29;
        }
        random = new SplittableRandom(mixed);
    }

    /** From 0 to 1. */
    public double unit() {
        return random.nextDouble();
    }

    /** Evenly from a range. */
    public double between(double low, double high) {
        return low + (high - low) * random.nextDouble();
    }

    /** A whole number from 0, below {@code n}. */
    public int below(int n) {
        return random.nextInt(n);
    }

    /** Any number. */
    public long number() {
        return random.nextLong();
    }

    /** The wait for the next event of a Poisson process. */
    public double exponential(double mean) {
        return -mean * StrictMath.log(1 - random.nextDouble());
    }

    /** Log-normal with this mean and coefficient of variation. */
    public double logNormal(double mean, double variation) {
        double variance = StrictMath.log(1 + variation * variation);
        double normal = StrictMath.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
                * StrictMath.cos(2 * StrictMath.PI * random.nextDouble());
        return mean * StrictMath.exp(StrictMath.sqrt(variance) * normal - variance / 2);
    }

    /** An index, each as likely as its share says. */
    public int weighted(double[] shares) {
        double sum = 0;
        for (double each : shares) {
            sum += each;
        }
        double at = sum * random.nextDouble();
        for (int i = 0; i < shares.length - 1; i++) {
            at -= shares[i];
            if (at < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }
}
