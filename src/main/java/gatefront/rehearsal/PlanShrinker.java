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
 * Cuts a plan whose seed breaks a rule down to what it takes to break it: faults are made fixed (else each would
 * draw other figures without its neighbours), then taken out one by one, their targets too, then the day is
 * shortened and callers are taken away, as long as one of the same rules still breaks.
 */
public final class PlanShrinker {
    private static final double RATE_LEAST = 1;

    private final long seed;
    private final Function<Engine, Balancer> module;
    private final Set<Rule> rules;
    private final Consumer<String> listener;

    private PlanShrinker(long seed, Function<Engine, Balancer> module, Set<Rule> rules, Consumer<String> listener) {
        this.seed = seed;
        this.module = module;
        this.rules = rules;
        this.listener = listener;
    }

    /**
     * Shrinks.
     *
     * @param plan what is played
     * @param seed that breaks a rule
     * @param listener is told each step, a line each
     * @return the smallest plan found that still breaks one of the rules, or null if the seed breaks none
     */
    public static Plan shrink(Plan plan, long seed, Consumer<String> listener) {
        return shrink(plan, seed, Engine::createDefaultBalancer, listener);
    }

    static Plan shrink(Plan plan, long seed, Function<Engine, Balancer> module, Consumer<String> listener) {
        Plan fixed = plan.with(frozen(plan, seed));
        RehearsalResult whole = new Rehearsal(fixed, seed, module).run();
        if (whole.breachCount() == 0) {
            return null;
        }
        Set<Rule> rules = whole.breaches().stream().map(each -> each.rule()).collect(Collectors.toSet());
        PlanShrinker shrink = new PlanShrinker(seed, module, rules, listener);
        listener.accept(
                "breaks " + rules.size() + " rule(s) with " + fixed.faults().size() + " faults");
        double end = (whole.breaches().get(0).atMicros() - Rehearsal.OPENING_MICROS) / 1e6 + 1;
        Plan smallest = shrink.callers(shrink.targets(shrink.faults(shrink.shorter(fixed, end))));
        listener.accept("left are " + smallest.faults().size() + " faults, " + smallest.seconds() + " s and "
                + smallest.callers().rate() + " requests a second");
        return smallest;
    }

    /** The faults as the seed draws them. */
    static List<Fault> frozen(Plan plan, long seed) {
        List<Fault> frozen = new ArrayList<>();
        for (ResolvedPlan.ScheduledFault each : ResolvedPlan.of(plan, seed).faults()) {
            String prefix = each.fault().kind().whom() == Fault.Kind.Whom.AGENTS ? "agent-" : "nodo-";
            List<String> names = new ArrayList<>();
            for (int target : each.targets()) {
                names.add(prefix + (target + 1));
            }
            frozen.add(each.fault()
                    .frozen(
                            fixed(each.startMicros() / 1e6),
                            fixed(each.durationMicros() / 1e6),
                            names,
                            fixed(each.size()),
                            fixed(each.periodMicros() / 1e6),
                            fixed(each.spreadMicros() / 1e6)));
        }
        return frozen;
    }

    private static NumberRange fixed(double figure) {
        return new NumberRange(figure, figure);
    }

    private boolean breaks(Plan plan) {
        return new Rehearsal(plan, seed, module)
                .run().breaches().stream().anyMatch(each -> rules.contains(each.rule()));
    }

    private Plan keep(Plan before, Plan smaller, String what) {
        if (!breaks(smaller)) {
            return before;
        }
        listener.accept("still breaks without " + what);
        return smaller;
    }

    private Plan shorter(Plan plan, double seconds) {
        double length = Math.max(1, Math.ceil(seconds));
        if (length >= plan.seconds()) {
            return plan;
        }
        return keep(plan, plan.withSeconds(length), "what comes after " + (int) length + " s");
    }

    private Plan faults(Plan plan) {
        Plan smallest = plan;
        for (int i = plan.faults().size() - 1; i >= 0; i--) {
            List<Fault> fewer = new ArrayList<>(smallest.faults());
            Fault out = fewer.remove(i);
            smallest = keep(
                    smallest,
                    smallest.with(fewer),
                    out.kind().word() + " at " + out.at().low() + " s");
        }
        return smallest;
    }

    private Plan targets(Plan plan) {
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
                            fault.frozen(
                                    fault.at(), fault.lasts(), names, fault.size(), fault.every(), fault.spread()));
                    smallest = keep(smallest, smallest.with(fewer), fault.kind().word() + " of " + name);
                }
            }
        }
        return smallest;
    }

    private Plan callers(Plan plan) {
        Plan smallest = plan;
        for (double part = 0.5; part < 0.95; part += 0.2) {
            while (part * smallest.callers().rate() >= RATE_LEAST) {
                Plan fewer = smallest.withRate(
                        JsonReport.round(part * smallest.callers().rate()));
                Plan kept = keep(smallest, fewer, "some of the callers");
                if (kept == smallest) {
                    break;
                }
                smallest = kept;
            }
        }
        return smallest;
    }
}
