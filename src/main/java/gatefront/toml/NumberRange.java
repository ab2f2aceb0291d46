package gatefront.toml;

import java.util.function.DoubleBinaryOperator;

/** A range of figures; low and high may be the same. */
public record NumberRange(double low, double high) {
    /** One figure of the range, by what draws between two; where there is only one, nothing is drawn. */
    public double sample(DoubleBinaryOperator sampler) {
        return low == high ? low : sampler.applyAsDouble(low, high);
    }
}
