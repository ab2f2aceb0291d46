package gatefront.rehearsal.world;

import java.util.SplittableRandom;

/** A stream of random numbers for one purpose, determined only by the rehearsal's seed and the name of the purpose. */
public final class RandomStream {
    private final SplittableRandom random;

    /**
     * Creates a stream that is independent of all other streams of the same seed.
     *
     * @param seed the seed of the rehearsal
     * @param concern the name of the purpose
     */
    public RandomStream(long seed, String concern) {
        long mixed = seed * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < concern.length(); i++) {
            mixed = (mixed ^ concern.charAt(i)) * 0xbf58476d1ce4e5b9L;
            mixed ^= mixed >>> 29;
        }
        random = new SplittableRandom(mixed);
    }

    /** Returns a number from 0 (inclusive) to 1 (exclusive). */
    public double nextDouble() {
        return random.nextDouble();
    }

    /** Returns a uniformly distributed number from a range. */
    public double uniform(double low, double high) {
        return low + (high - low) * random.nextDouble();
    }

    /** Returns an integer from 0 (inclusive) to {@code bound} (exclusive). */
    public int nextInt(int bound) {
        return random.nextInt(bound);
    }

    /** Returns any {@code long}. */
    public long nextLong() {
        return random.nextLong();
    }

    /** Returns the time until the next event of a Poisson process with this mean interval. */
    public double exponential(double mean) {
        return -mean * StrictMath.log(1 - random.nextDouble());
    }

    /** Returns a log-normally distributed number with this mean and coefficient of variation. */
    public double logNormal(double mean, double variation) {
        double variance = StrictMath.log(1 + variation * variation);
        double normal = StrictMath.sqrt(-2 * StrictMath.log(1 - random.nextDouble()))
                * StrictMath.cos(2 * StrictMath.PI * random.nextDouble());
        return mean * StrictMath.exp(StrictMath.sqrt(variance) * normal - variance / 2);
    }

    /** Returns an index with a probability proportional to its share. */
    public int weightedIndex(double[] shares) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        double remaining = sum * random.nextDouble();
        for (int i = 0; i < shares.length - 1; i++) {
            remaining -= shares[i];
            if (remaining < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }
}
