package gatefront.rehearsal.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.world.RetryBehavior.RetrySafety;
import gatefront.rehearsal.world.RetryBehavior.TryOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the models in isolation. */
class WorldTest {
    private static final NodoModel.Warmup WARMUP = new NodoModel.Warmup(0.1, 10_000_000);
    private static final NodoModel.Machine TWO_CORES_MACHINE =
            new NodoModel.Machine(2, 1, 3, 2, 0.5, 1, WARMUP, WARMUP, 3, 1_000_000);
    private final RandomStream random = new RandomStream(1, "test");

    private NodoModel warmNodo() {
        return new NodoModel(new NodoModel.Machine(2, 1, 3, 2, 0, 1, WARMUP, WARMUP, 3, 1_000_000), random, 0, false);
    }

    @Test
    void nodoWarmingUpFasterThanStatedIsJudgedByTheStatedWarmup() {
        NodoModel.Machine machine =
                new NodoModel.Machine(2, 1, 3, 100, 0, 1, new NodoModel.Warmup(0.5, 2_000_000), WARMUP, 3, 1_000_000);
        NodoModel model = new NodoModel(machine, random, 0, true);
        assertEquals(2 * 0.5, model.capacity(0), 1e-9);
        model.arrive(0, 1, 300_000, 0);
        assertEquals(
                300_000 / (3 * 2 * 0.1 * 1_000_000),
                model.overloadShare(),
                1e-9,
                "as a share of the load that makes the process crash by its stated warm-up");
        assertEquals(300_000, model.coldWork(), 1e-9);
        model.advance(1_000_000);
        assertEquals(1_250_000, model.coldCapacity(), 20_000, "from 1.0 to 1.5 cores in a second");
        assertEquals(2, model.capacity(2_000_000), 1e-9);
        assertFalse(model.isCold(2_000_000));
        assertFalse(model.statedLimitExceeded());
    }

    /** Runs the model to a time and returns each completed job with its completion time in milliseconds. */
    private static List<String> completionTimes(NodoModel model, long until) {
        List<String> completions = new ArrayList<>();
        long now = 0;
        while (model.nextEventMicros() <= until) {
            now = Math.max(now + 1, model.nextEventMicros());
            for (NodoModel.Completion completion : model.advance(now)) {
                completions.add(completion.job() + "@" + now / 1000);
            }
        }
        return completions;
    }

    @Test
    void requestsShareCoresThenQueueThenAreRefused() {
        NodoModel model = warmNodo();
        for (int i = 0; i < 5; i++) {
            assertEquals(NodoModel.Arrival.ACCEPTED, model.arrive(0, i, 100_000, 0));
        }
        assertEquals(NodoModel.Arrival.REFUSED, model.arrive(0, 5, 100_000, 0));
        assertEquals(2, model.queuedRequests());
        // Three jobs share two cores for 150 ms; then the two queued jobs have a core each.
        assertEquals(List.of("0@150", "1@150", "2@150", "3@250", "4@250"), completionTimes(model, 1_000_000));
    }

    @Test
    void slowOrSharedMachineWorksInProportionAndKeepsItsProgress() {
        NodoModel model = warmNodo();
        model.arrive(0, 0, 100_000, 0);
        model.advance(50_000);
        model.setSlowdown(50_000, 5);
        assertEquals(List.of("0@300"), completionTimes(model, 1_000_000));
        NodoModel stolen = warmNodo();
        stolen.arrive(0, 0, 100_000, 0);
        stolen.setStolenShare(0, 0.5);
        assertEquals(List.of("0@200"), completionTimes(stolen, 1_000_000));
        NodoModel limited = warmNodo();
        limited.arrive(0, 0, 100_000, 0);
        limited.setLimit(0, 0.25);
        assertEquals(List.of("0@400"), completionTimes(limited, 1_000_000));
    }

    @Test
    void holdingTooManyRequestsCostsEfficiency() {
        NodoModel model = new NodoModel(TWO_CORES_MACHINE, random, 0, false);
        double idle = model.capacity(0);
        for (int i = 0; i < 5; i++) {
            model.arrive(0, i, 100_000, 0);
        }
        assertTrue(model.capacity(0) < 0.7 * idle);
    }

    @Test
    void coldProcessWarmsUpLinearlyAndCrashesUnderOverload() {
        NodoModel model = new NodoModel(TWO_CORES_MACHINE, random, 0, true);
        assertEquals(0.2, model.capacity(0), 1e-9);
        assertEquals(1.1, model.capacity(5_000_000), 1e-9);
        assertEquals(2, model.capacity(10_000_000), 1e-9);
        // The limit for a window is 3 x 0.2 cores x 1 s.
        model.arrive(0, 0, 300_000, 1);
        model.arrive(0, 1, 200_000, 2);
        assertFalse(model.crashed());
        model.arrive(0, 2, 200_000, 2);
        assertTrue(model.crashed());
        assertEquals(Map.of(1, 300_000.0, 2, 400_000.0), model.coldWorkByAgent());
        NodoModel spread = new NodoModel(TWO_CORES_MACHINE, random, 0, true);
        for (int i = 0; i < 20; i++) {
            spread.advance(i * 500_000L);
            spread.arrive(i * 500_000L, i, 200_000, 1);
        }
        assertFalse(spread.crashed(), "more work, but spread over time");
        NodoModel slowed = new NodoModel(TWO_CORES_MACHINE, random, 0, true);
        slowed.setSlowdown(0, 9);
        slowed.arrive(0, 0, 100_000, 1);
        assertTrue(
                slowed.crashed() && !slowed.statedLimitExceeded(), "it crashes, which no agent could have predicted");
        assertTrue(model.statedLimitExceeded());
    }

    @Test
    void configuredShareOfRequestsFailsImmediately() {
        NodoModel model = warmNodo();
        model.setFailureShare(1);
        assertEquals(NodoModel.Arrival.FAILED, model.arrive(0, 0, 1000, 0));
        model.setFailureShare(0);
        assertEquals(NodoModel.Arrival.ACCEPTED, model.arrive(0, 1, 1000, 0));
    }

    @Test
    void duplicateWithinTheWindowHasNoEffectAndALaterOneDoes() {
        IdempotencyWindow window = new IdempotencyWindow(4_000_000);
        IdempotencyWindow.Entry first = window.register(0, "k");
        IdempotencyWindow.Entry second = window.register(3_900_000, "k");
        assertTrue(second.markApplied(), "the first to run, although it arrived second");
        assertFalse(first.markApplied());
        assertTrue(
                window.register(4_000_000, "k").markApplied(), "the window has ended, so the effect is applied again");
        window.register(9_000_000, "other");
        assertEquals(1, window.size(), "ended windows are removed");
    }

    @Test
    void clientsRetryOnlyWhereThatIsHarmless() {
        RetryBehavior behavior = new RetryBehavior(2, 50_000, 1, random);
        assertEquals(
                RetryBehavior.NEVER,
                behavior.nextTryMicros(0, 1, TryOutcome.SERVED, RetrySafety.SAFE, 0, 9_000_000, 0));
        assertNotEquals(
                RetryBehavior.NEVER,
                behavior.nextTryMicros(0, 1, TryOutcome.FAILED, RetrySafety.SAFE, 0, 9_000_000, 0));
        assertEquals(
                RetryBehavior.NEVER,
                behavior.nextTryMicros(0, 1, TryOutcome.FAILED, RetrySafety.ONLY_IF_NOT_RUN, 0, 9_000_000, 0));
        assertNotEquals(
                RetryBehavior.NEVER,
                behavior.nextTryMicros(0, 1, TryOutcome.REFUSED, RetrySafety.ONLY_IF_NOT_RUN, 0, 9_000_000, 0));
        assertEquals(
                RetryBehavior.NEVER,
                behavior.nextTryMicros(5, 1, TryOutcome.TIMED_OUT, RetrySafety.KEYED_ALL_NODOS, 5, 9_000_000, 0));
        assertNotEquals(
                RetryBehavior.NEVER,
                behavior.nextTryMicros(4, 1, TryOutcome.TIMED_OUT, RetrySafety.KEYED_ALL_NODOS, 5, 9_000_000, 0));
        assertEquals(
                RetryBehavior.NEVER,
                behavior.nextTryMicros(0, 3, TryOutcome.REFUSED, RetrySafety.SAFE, 0, 9_000_000, 0),
                "at most two retries");
        assertTrue(
                behavior.nextTryMicros(0, 1, TryOutcome.REFUSED, RetrySafety.SAFE, 0, 9_000_000, 700_000) >= 700_000);
        assertEquals(
                RetryBehavior.NEVER,
                behavior.nextTryMicros(0, 1, TryOutcome.REFUSED, RetrySafety.SAFE, 0, 600_000, 700_000));
    }

    @Test
    void padronReturnsEachChangedNodoOnceAndTheCompleteListForOldVersions() {
        Padron padron = new Padron();
        Padron.Entry entry = new Padron.Entry("nodo-1", "127.1.0.1:3000", 0, "k", 0, Padron.Status.READY, 1, 0);
        padron.put(entry);
        long oldVersion = padron.index();
        padron.put("nodo-1", Padron.Status.TERMINATING);
        padron.put("nodo-1", Padron.Status.GONE);
        padron.put("nodo-2", Padron.Status.READY); // not listed, so nothing changes
        Padron.Listing changes = padron.changesSince(oldVersion);
        assertFalse(changes.complete());
        assertEquals(
                List.of(Padron.Status.GONE),
                changes.entries().stream().map(Padron.Entry::status).toList());
        assertEquals(List.of(), padron.snapshot().entries());
        for (int i = 0; i <= Padron.MAX_CHANGES; i++) {
            padron.put(entry);
        }
        assertTrue(padron.changesSince(oldVersion).complete());
        assertTrue(padron.changesSince(padron.index() + 5).complete(), "a version that never existed");
    }

    @Test
    void demandFollowsItsRateAndRateChangesAndDependsOnlyOnTheSeed() {
        List<Demand.RequestClass> classes =
                List.of(new Demand.RequestClass("a", 1, 50_000, 0.5), new Demand.RequestClass("b", 3, 80_000, 0.5));
        int[] arrivals = new int[3];
        int arrivalsOfB = 0;
        double workOfB = 0;
        Demand demand = new Demand(
                new RandomStream(5, "d"),
                200,
                classes,
                new double[] {1, 1},
                new double[] {2, 1},
                0.4,
                List.of(new Demand.RateChange(10_000_000, 20_000_000, 2)));
        Demand sameSeed = new Demand(
                new RandomStream(5, "d"),
                200,
                classes,
                new double[] {1, 1},
                new double[] {2, 1},
                0.4,
                List.of(new Demand.RateChange(10_000_000, 20_000_000, 2)));
        for (Demand.Operation operation = demand.next();
                operation.arrivalMicros() < 30_000_000;
                operation = demand.next()) {
            assertEquals(operation, sameSeed.next());
            arrivals[(int) (operation.arrivalMicros() / 10_000_000)]++;
            arrivalsOfB += operation.requestClass();
            workOfB += operation.requestClass() == 1 ? operation.workMicros() : 0;
        }
        assertEquals(2000, arrivals[0], 200);
        assertEquals(4000, arrivals[1], 300);
        assertEquals(2000, arrivals[2], 200);
        assertEquals(0.75, arrivalsOfB / (double) (arrivals[0] + arrivals[1] + arrivals[2]), 0.03);
        assertEquals(80_000, workOfB / arrivalsOfB, 3000);
    }
}
