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

/** Runs one plan with many seeds on all cores. */
public final class SeedCampaign {
    /**
     * The summary of a campaign.
     *
     * @param plan the name of the plan
     * @param runs number of runs
     * @param brokenRuns number of runs that broke a rule
     * @param services the service of each run, in ascending order
     * @param brokenSeeds the seeds of the runs that broke a rule
     */
    public record Summary(String plan, int runs, int brokenRuns, List<Double> services, List<Long> brokenSeeds) {
        /** Returns the summary as text of two lines. */
        public String format() {
            double mean =
                    services.stream().mapToDouble(Double::doubleValue).average().orElse(0);
            return String.format(
                    Locale.ROOT,
                    "%s: %d seeds; service %.4f on average, lowest %.4f, 10th percentile %.4f, median %.4f%n%s%n",
                    plan,
                    runs,
                    mean,
                    services.get(0),
                    services.get(services.size() / 10),
                    services.get(services.size() / 2),
                    brokenRuns == 0
                            ? "all rules kept with all seeds"
                            : "RULES BROKEN with " + brokenRuns + " seeds: " + brokenSeeds);
        }
    }

    private SeedCampaign() {}

    /**
     * Runs the plan with a range of seeds.
     *
     * @param plan the plan
     * @param firstSeed the first seed
     * @param lastSeed the last seed, inclusive
     * @param progress receives the share of runs that is done
     * @param onBroken receives the result of each run that broke a rule, in the order of the seeds
     * @return the summary
     */
    public static Summary play(
            Plan plan, long firstSeed, long lastSeed, DoubleConsumer progress, Consumer<RehearsalResult> onBroken) {
        ExecutorService threads = Executors.newFixedThreadPool(
                (int) Math.min(lastSeed - firstSeed + 1, Runtime.getRuntime().availableProcessors()));
        AtomicLong nextSeed = new AtomicLong(firstSeed);
        try {
            List<Double> services = new ArrayList<>();
            List<Long> brokenSeeds = new ArrayList<>();
            List<Future<RehearsalResult>> pending = new ArrayList<>();
            int maxPending = 4 * Runtime.getRuntime().availableProcessors();
            for (long seed = firstSeed; seed <= lastSeed; seed++) {
                while (pending.size() < maxPending && nextSeed.get() <= lastSeed) {
                    long submitted = nextSeed.getAndIncrement();
                    pending.add(threads.submit(() -> new Rehearsal(plan, submitted).run()));
                }
                RehearsalResult result = pending.remove(0).get();
                services.add(result.service());
                if (result.breachCount() > 0) {
                    brokenSeeds.add(seed);
                    onBroken.accept(result);
                }
                progress.accept((double) (seed - firstSeed + 1) / (lastSeed - firstSeed + 1));
            }
            Collections.sort(services);
            return new Summary(
                    plan.name(), services.size(), brokenSeeds.size(), List.copyOf(services), List.copyOf(brokenSeeds));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("seed campaign interrupted", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a rehearsal of the campaign failed: " + e.getCause(), e.getCause());
        } finally {
            threads.shutdownNow();
        }
    }
}
