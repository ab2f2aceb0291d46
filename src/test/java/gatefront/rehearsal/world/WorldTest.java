package gatefront.rehearsal.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.world.RetryBehavior.Fate;
import gatefront.rehearsal.world.RetryBehavior.Repeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The models alone. */
class WorldTest {
    private static final NodoModel.Warmth COLD = new NodoModel.Warmth(0.1, 10_000_000);
    private static final NodoModel.Machine TWO_CORES =
            new NodoModel.Machine(2, 1, 3, 2, 0.5, 1, COLD, COLD, 3, 1_000_000);
    private final RandomStream draw = new RandomStream(1, "test");

    private NodoModel warm() {
        return new NodoModel(new NodoModel.Machine(2, 1, 3, 2, 0, 1, COLD, COLD, 3, 1_000_000), draw, 0, false);
    }

    @Test
    void aNodoThatWarmsUpSoonerThanStatedIsMeasuredByWhatIsStated() {
        NodoModel.Machine machine =
                new NodoModel.Machine(2, 1, 3, 100, 0, 1, new NodoModel.Warmth(0.5, 2_000_000), COLD, 3, 1_000_000);
        NodoModel model = new NodoModel(machine, draw, 0, true);
        assertEquals(2 * 0.5, model.capacity(0), 1e-9);
        model.arrive(0, 1, 300_000, 0);
        assertEquals(
                300_000 / (3 * 2 * 0.1 * 1_000_000), model.pressed(), 1e-9, "of what topples it by what is stated");
        assertEquals(300_000, model.coldSent(), 1e-9);
        model.advance(1_000_000);
        assertEquals(1_250_000, model.coldBorne(), 20_000, "from 1.0 to 1.5 cores in a second");
        assertEquals(2, model.capacity(2_000_000), 1e-9);
        assertFalse(model.cold(2_000_000));
        assertFalse(model.overStated());
    }

    /** Plays to an end and gives the time of each request's end. */
    private static List<String> ends(NodoModel model, long until) {
        List<String> ends = new ArrayList<>();
        long now = 0;
        while (model.next() <= until) {
            now = Math.max(now + 1, model.next());
            for (NodoModel.Ended each : model.advance(now)) {
                ends.add(each.job() + "@" + now / 1000);
            }
        }
        return ends;
    }

    @Test
    void coresAreSharedBeyondTheirNumberAndTheRestWaitsAndIsTurnedAway() {
        NodoModel model = warm();
        for (int i = 0; i < 5; i++) {
            assertEquals(NodoModel.Arrival.TAKEN, model.arrive(0, i, 100_000, 0));
        }
        assertEquals(NodoModel.Arrival.TURNED_AWAY, model.arrive(0, 5, 100_000, 0));
        assertEquals(2, model.queued());
        // Three share two cores: 150 ms; then the two that waited have a core each.
        assertEquals(List.of("0@150", "1@150", "2@150", "3@250", "4@250"), ends(model, 1_000_000));
    }

    @Test
    void aSlowOrTakenMachineWorksInProportionAndGoesOnWhereItWas() {
        NodoModel model = warm();
        model.arrive(0, 0, 100_000, 0);
        model.advance(50_000);
        model.slow(50_000, 5);
        assertEquals(List.of("0@300"), ends(model, 1_000_000));
        NodoModel shared = warm();
        shared.arrive(0, 0, 100_000, 0);
        shared.taken(0, 0.5);
        assertEquals(List.of("0@200"), ends(shared, 1_000_000));
        NodoModel limited = warm();
        limited.arrive(0, 0, 100_000, 0);
        limited.limit(0, 0.25);
        assertEquals(List.of("0@400"), ends(limited, 1_000_000));
    }

    @Test
    void holdingTooManyCostsEfficiency() {
        NodoModel model = new NodoModel(TWO_CORES, draw, 0, false);
        double idle = model.capacity(0);
        for (int i = 0; i < 5; i++) {
            model.arrive(0, i, 100_000, 0);
        }
        assertTrue(model.capacity(0) < 0.7 * idle);
    }

    @Test
    void aColdProcessWarmsUpEvenlyAndFallsOverWhenPushed() {
        NodoModel model = new NodoModel(TWO_CORES, draw, 0, true);
        assertEquals(0.2, model.capacity(0), 1e-9);
        assertEquals(1.1, model.capacity(5_000_000), 1e-9);
        assertEquals(2, model.capacity(10_000_000), 1e-9);
        // The budget of a window is 3 x 0.2 cores x 1 s.
        model.arrive(0, 0, 300_000, 1);
        model.arrive(0, 1, 200_000, 2);
        assertFalse(model.fallen());
        model.arrive(0, 2, 200_000, 2);
        assertTrue(model.fallen());
        assertEquals(Map.of(1, 300_000.0, 2, 400_000.0), model.coldWork());
        NodoModel paced = new NodoModel(TWO_CORES, draw, 0, true);
        for (int i = 0; i < 20; i++) {
            paced.advance(i * 500_000L);
            paced.arrive(i * 500_000L, i, 200_000, 1);
        }
        assertFalse(paced.fallen(), "the same and more, spread over time");
        NodoModel slowed = new NodoModel(TWO_CORES, draw, 0, true);
        slowed.slow(0, 9);
        slowed.arrive(0, 0, 100_000, 1);
        assertTrue(slowed.fallen() && !slowed.overStated(), "it falls, and nobody could know");
        assertTrue(model.overStated());
    }

    @Test
    void aPartOfTheRequestsFailsAtOnce() {
        NodoModel model = warm();
        model.failing(1);
        assertEquals(NodoModel.Arrival.FAILS, model.arrive(0, 0, 1000, 0));
        model.failing(0);
        assertEquals(NodoModel.Arrival.TAKEN, model.arrive(0, 1, 1000, 0));
    }

    @Test
    void aRepeatWithinTheWindowHasNoEffectAndLaterOneDoes() {
        IdempotencyWindow repeats = new IdempotencyWindow(4_000_000);
        IdempotencyWindow.Entry first = repeats.arrive(0, "k");
        IdempotencyWindow.Entry second = repeats.arrive(3_900_000, "k");
        assertTrue(second.first(), "the first that runs, though it came second");
        assertFalse(first.first());
        assertTrue(repeats.arrive(4_000_000, "k").first(), "the window is over: it happens again");
        repeats.arrive(9_000_000, "other");
        assertEquals(1, repeats.size(), "nothing is remembered for ever");
    }

    @Test
    void callersAskAgainOnlyWhereThatIsHarmless() {
        RetryBehavior patience = new RetryBehavior(2, 50_000, 1, draw);
        assertEquals(RetryBehavior.NEVER, patience.again(0, 1, Fate.SERVED, Repeat.SAFE, 0, 9_000_000, 0));
        assertNotEquals(RetryBehavior.NEVER, patience.again(0, 1, Fate.FAILED, Repeat.SAFE, 0, 9_000_000, 0));
        assertEquals(RetryBehavior.NEVER, patience.again(0, 1, Fate.FAILED, Repeat.CAREFUL, 0, 9_000_000, 0));
        assertNotEquals(RetryBehavior.NEVER, patience.again(0, 1, Fate.REFUSED, Repeat.CAREFUL, 0, 9_000_000, 0));
        assertEquals(
                RetryBehavior.NEVER, patience.again(5, 1, Fate.TIMED_OUT, Repeat.KEYED_EVERYWHERE, 5, 9_000_000, 0));
        assertNotEquals(
                RetryBehavior.NEVER, patience.again(4, 1, Fate.TIMED_OUT, Repeat.KEYED_EVERYWHERE, 5, 9_000_000, 0));
        assertEquals(
                RetryBehavior.NEVER, patience.again(0, 3, Fate.REFUSED, Repeat.SAFE, 0, 9_000_000, 0), "two at most");
        assertTrue(patience.again(0, 1, Fate.REFUSED, Repeat.SAFE, 0, 9_000_000, 700_000) >= 700_000);
        assertEquals(RetryBehavior.NEVER, patience.again(0, 1, Fate.REFUSED, Repeat.SAFE, 0, 600_000, 700_000));
    }

    @Test
    void thePadronTellsWhatChangedEachNodoOnceAndAllToWhoIsTooFarBehind() {
        Padron padron = new Padron();
        Padron.Entry entry = new Padron.Entry("nodo-1", "127.1.0.1:3000", 0, "k", 0, Padron.Status.READY, 1, 0);
        padron.put(entry);
        long before = padron.index();
        padron.put("nodo-1", Padron.Status.TERMINATING);
        padron.put("nodo-1", Padron.Status.GONE);
        padron.put("nodo-2", Padron.Status.READY); // unknown: nothing to say
        Padron.Listing news = padron.since(before);
        assertFalse(news.whole());
        assertEquals(
                List.of(Padron.Status.GONE),
                news.entries().stream().map(Padron.Entry::status).toList());
        assertEquals(List.of(), padron.whole().entries());
        for (int i = 0; i <= Padron.KEPT; i++) {
            padron.put(entry);
        }
        assertTrue(padron.since(before).whole());
        assertTrue(padron.since(padron.index() + 5).whole(), "a version that it has never had");
    }

    @Test
    void demandKeepsItsRateAndItsJumpsAndFollowsFromTheSeed() {
        List<Demand.Kind> kinds = List.of(new Demand.Kind("a", 1, 50_000, 0.5), new Demand.Kind("b", 3, 80_000, 0.5));
        int[] came = new int[3];
        int b = 0;
        double work = 0;
        Demand demand = new Demand(
                new RandomStream(5, "d"),
                200,
                kinds,
                new double[] {1, 1},
                new double[] {2, 1},
                0.4,
                List.of(new Demand.Jump(10_000_000, 20_000_000, 2)));
        Demand same = new Demand(
                new RandomStream(5, "d"),
                200,
                kinds,
                new double[] {1, 1},
                new double[] {2, 1},
                0.4,
                List.of(new Demand.Jump(10_000_000, 20_000_000, 2)));
        for (Demand.Want want = demand.next(); want.at() < 30_000_000; want = demand.next()) {
            assertEquals(want, same.next());
            came[(int) (want.at() / 10_000_000)]++;
            b += want.kind();
            work += want.kind() == 1 ? want.work() : 0;
        }
        assertEquals(2000, came[0], 200);
        assertEquals(4000, came[1], 300);
        assertEquals(2000, came[2], 200);
        assertEquals(0.75, b / (double) (came[0] + came[1] + came[2]), 0.03);
        assertEquals(80_000, work / b, 3000);
    }
}
