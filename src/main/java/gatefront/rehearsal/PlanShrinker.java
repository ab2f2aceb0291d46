package gatefront.rehearsal;

import gatefront.engine.Engine;
import gatefront.policy.Balancer;
import gatefront.rehearsal.check.RuleChecker.Rule;
import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.plan.Plan;
import gatefront.toml.NumberRange;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Reduces a plan that breaks a rule with some seed to a small plan that still breaks one of the same rules. Faults are
 * first given fixed values, since each would draw other values once its neighbours are gone. Then the run is shortened,
 * faults and their targets are removed one by one, and the rate of requests is lowered.
 */
public final class PlanShrinker {
    /** Requests per second. */
    private static final double MIN_RATE = 1;

    private final long seed;
    private final Function<Engine, Balancer> balancerFactory;
    private final Set<Rule> rules;
    private final Consumer<String> listener;

    private PlanShrinker(
            long seed, Function<Engine, Balancer> balancerFactory, Set<Rule> rules, Consumer<String> listener) {
        this.seed = seed;
        this.balancerFactory = balancerFactory;
        this.rules = rules;
        this.listener = listener;
    }

    /**
     * Reduces a plan.
     *
     * @param plan the plan
     * @param seed a seed with which the plan breaks a rule
     * @param listener receives a line of text for each step
     * @return the smallest plan found that still breaks one of the rules, or null if the seed breaks none
     */
    public static Plan shrink(Plan plan, long seed, Consumer<String> listener) {
        return shrink(plan, seed, Engine::createDefaultBalancer, listener);
    }

    static Plan shrink(Plan plan, long seed, Function<Engine, Balancer> balancerFactory, Consumer<String> listener) {
        Plan fixed = plan.withFaults(resolveFaults(plan, seed));
        RehearsalResult result = new Rehearsal(fixed, seed, balancerFactory).run();
        if (result.breachCount() == 0) {
            return null;
        }
        Set<Rule> rules =
                result.breaches().stream().map(breach -> breach.rule()).collect(Collectors.toSet());
        PlanShrinker shrinker = new PlanShrinker(seed, balancerFactory, rules, listener);
        listener.accept("the plan breaks " + rules.size() + " rule(s) with "
                + fixed.faults().size() + " faults");
        double end = (result.breaches().get(0).atMicros() - Rehearsal.OPENING_MICROS) / 1e6 + 1;
        Plan smallest =
                shrinker.reduceRate(shrinker.removeTargets(shrinker.removeFaults(shrinker.shorten(fixed, end))));
        listener.accept("smallest plan found: " + smallest.faults().size() + " faults, " + smallest.seconds()
                + " s and " + smallest.clients().rate() + " requests a second");
        return smallest;
    }

    /** Returns the faults of a plan with the values that a seed draws for them. */
    static List<Fault> resolveFaults(Plan plan, long seed) {
        List<Fault> resolved = new ArrayList<>();
        for (ResolvedPlan.ScheduledFault fault : ResolvedPlan.of(plan, seed).faults()) {
            String prefix = fault.fault().kind().target() == Fault.Kind.Target.AGENTS ? "agent-" : "nodo-";
            List<String> names = new ArrayList<>();
            for (int target : fault.targets()) {
                names.add(prefix + (target + 1));
            }
            resolved.add(fault.fault()
                    .withFixedValues(
                            fixedRange(fault.startMicros() / 1e6),
                            fixedRange(fault.durationMicros() / 1e6),
                            names,
                            fixedRange(fault.size()),
                            fixedRange(fault.periodMicros() / 1e6),
                            fixedRange(fault.spreadMicros() / 1e6)));
        }
        return resolved;
    }

    private static NumberRange fixedRange(double value) {
        return new NumberRange(value, value);
    }

    private boolean stillBreaks(Plan plan) {
        return new Rehearsal(plan, seed, balancerFactory)
                .run().breaches().stream().anyMatch(breach -> rules.contains(breach.rule()));
    }

    private Plan smallerIfBreaking(Plan current, Plan smaller, String removed) {
        if (!stillBreaks(smaller)) {
            return current;
        }
        listener.accept("still breaks without " + removed);
        return smaller;
    }

    private Plan shorten(Plan plan, double seconds) {
        double length = Math.max(1, Math.ceil(seconds));
        if (length >= plan.seconds()) {
            return plan;
        }
        return smallerIfBreaking(plan, plan.withSeconds(length), "the time after " + (int) length + " s");
    }

    private Plan removeFaults(Plan plan) {
        Plan smallest = plan;
        for (int i = plan.faults().size() - 1; i >= 0; i--) {
            List<Fault> fewer = new ArrayList<>(smallest.faults());
            Fault removed = fewer.remove(i);
            smallest = smallerIfBreaking(
                    smallest,
                    smallest.withFaults(fewer),
                    removed.kind().keyword() + " at " + removed.at().low() + " s");
        }
        return smallest;
    }

    private Plan removeTargets(Plan plan) {
        Plan smallest = plan;
        for (int i = 0; i < plan.faults().size(); i++) {
            for (String name : plan.faults().get(i).names()) {
                Fault fault = smallest.faults().get(i);
                if (fault.names().size() > 1) {
                    List<String> names = new ArrayList<>(fault.names());
                    names.remove(name);
                    List<Fault> fewer = new ArrayList<>(smallest.faults());
                    fewer.set(
                            i,
                            fault.withFixedValues(
                                    fault.at(), fault.duration(), names, fault.size(), fault.period(), fault.spread()));
                    smallest = smallerIfBreaking(
                            smallest, smallest.withFaults(fewer), fault.kind().keyword() + " of " + name);
                }
            }
        }
        return smallest;
    }

    private Plan reduceRate(Plan plan) {
        Plan smallest = plan;
        for (double share = 0.5; share < 0.95; share += 0.2) {
            while (share * smallest.clients().rate() >= MIN_RATE) {
                Plan fewer = smallest.withRate(
                        JsonReport.round(share * smallest.clients().rate()));
                Plan reduced = smallerIfBreaking(smallest, fewer, "some of the requests");
                if (reduced == smallest) {
                    break;
                }
                smallest = reduced;
            }
        }
        return smallest;
    }
}
