package gatefront.rehearsal;

import gatefront.rehearsal.plan.Plan;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;

/** Plays one plan with many seeds, on all cores. */
public final class SeedCampaign {
    /** What many seeds came to. */
    public record Summary(String plan, int played, int broken, List<Double> services, List<Long> brokenSeeds) {
        /** Some lines for a person. */
        public String text() {
            double mean =
                    services.stream().mapToDouble(Double::doubleValue).average().orElse(0);
            return String.format(
                    Locale.ROOT,
                    "%s: %d seeds; service %.4f on average, lowest %.4f, a tenth below %.4f, "
                            + "half below %.4f%n%s%n",
                    plan,
                    played,
                    mean,
                    services.get(0),
                    services.get(services.size() / 10),
                    services.get(services.size() / 2),
                    broken == 0
                            ? "all rules kept on all of them"
                            : "RULES BROKEN on " + broken + " of them: seeds " + brokenSeeds);
        }
    }

    private SeedCampaign() {}

    /**
     * Plays.
     *
     * @param plan what is played
     * @param from the first seed
     * @param until the last seed
     * @param progress is told which part is done
     * @param broken is told of each rehearsal that broke a rule, in the order of the seeds
     * @return the summary
     */
    public static Summary play(
            Plan plan, long from, long until, DoubleConsumer progress, Consumer<RehearsalResult> broken) {
        ExecutorService threads = Executors.newFixedThreadPool(
                (int) Math.min(until - from + 1, Runtime.getRuntime().availableProcessors()));
        AtomicLong next = new AtomicLong(from);
        try {
            List<Double> services = new ArrayList<>();
            List<Long> seeds = new ArrayList<>();
            List<Future<RehearsalResult>> ahead = new ArrayList<>();
            int window = 4 * Runtime.getRuntime().availableProcessors();
            for (long seed = from; seed <= until; seed++) {
                while (ahead.size() < window && next.get() <= until) {
                    long mine = next.getAndIncrement();
                    ahead.add(threads.submit(() -> new Rehearsal(plan, mine).run()));
                }
                RehearsalResult outcome = ahead.remove(0).get();
                services.add(outcome.service());
                if (outcome.breachCount() > 0) {
                    seeds.add(seed);
                    broken.accept(outcome);
                }
                progress.accept((double) (seed - from + 1) / (until - from + 1));
            }
            Collections.sort(services);
            return new Summary(plan.name(), services.size(), seeds.size(), List.copyOf(services), List.copyOf(seeds));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a rehearsal failed: " + e.getCause(), e.getCause());
        } finally {
            threads.shutdownNow();
        }
    }
}
