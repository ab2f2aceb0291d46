package gatefront.toml;

import java.util.function.DoubleBinaryOperator;

/** A range of numbers, both bounds included; {@code low} may equal {@code high}. */
public record NumberRange(double low, double high) {
    /** Returns a number of the range; {@code sampler} is only called if the bounds differ. */
    public double sample(DoubleBinaryOperator sampler) {
        return low == high ? low : sampler.applyAsDouble(low, high);
    }
}
