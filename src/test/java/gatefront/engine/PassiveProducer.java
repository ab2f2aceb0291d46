package gatefront.engine;

import java.util.function.LongSupplier;

/** A producer of a body that a test writes itself; it ignores what it is told. */
public record PassiveProducer(LongSupplier clockNanos) implements BodyStream.Producer {
    @Override
    public void onConsumed(int bytes) {}

    @Override
    public void onResume() {}

    @Override
    public void onCancel() {}

    @Override
    public long mayBeSentSinceNanos() {
        return clockNanos.getAsLong();
    }
}
