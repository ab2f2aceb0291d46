package gatefront.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class QuantileEstimatorTest {
    @Test
    void aLowFirstSampleDoesNotAffectTheMinimum() {
        QuantileEstimator quantile = new QuantileEstimator(0.8);
        quantile.add(0.01);
        for (int i = 0; i < 200; i++) {
            quantile.add(10);
        }
        assertEquals(10, quantile.minimum(), 2);
    }

    @Test
    void theQuantileOfUniformSamplesIsEstimatedAndTracked() {
        SplittableRandom random = new SplittableRandom(5);
        QuantileEstimator quantile = new QuantileEstimator(0.8);
        for (int i = 0; i < 3000; i++) {
            quantile.add(random.nextDouble());
        }
        assertEquals(0.8, quantile.value(), 0.12);
        for (int i = 0; i < 3000; i++) {
            quantile.add(3 * random.nextDouble());
        }
        assertEquals(2.4, quantile.value(), 0.36);
        assertEquals(0.8, quantile.minimum(), 0.25, "the minimum stays at the earlier, lower value");
    }

    @Test
    void theEstimateIsNotReadyBeforeEnoughSamples() {
        QuantileEstimator quantile = new QuantileEstimator(0.8);
        for (int i = 0; i < 49; i++) {
            quantile.add(1);
        }
        assertFalse(quantile.isReady());
        quantile.add(1);
        assertTrue(quantile.isReady());
    }
}
