package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.engine.Engine;
import gatefront.policy.Balancer;
import gatefront.rehearsal.check.RuleChecker.Breach;
import gatefront.rehearsal.check.RuleChecker.Rule;
import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.plan.Plan;
import gatefront.rehearsal.plan.PlanReader;
import gatefront.rehearsal.plan.PlanWriter;
import gatefront.toml.NumberRange;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Verifies that the rehearsal detects faults: an agent with a deliberately faulty decision module breaks the expected
 * rule with the expected request.
 */
class FaultyAgentTest {
    /** A decision module that does one thing wrong and delegates the rest. */
    abstract static class FaultyBalancer implements Balancer {
        final Balancer delegate;
        final Engine engine;

        FaultyBalancer(Engine engine) {
            this.engine = engine;
            this.delegate = Engine.createDefaultBalancer(engine);
        }

        @Override
        public void servers(long now, ListKind kind, List<Server> entries) {
            delegate.servers(now, kind, entries);
        }

        @Override
        public void request(long now, Request request) {
            delegate.request(now, request);
        }

        @Override
        public void request(long now, Request request, Settings settings) {
            request(now, request);
        }

        @Override
        public void streamStarted(long now, long request, int attempt, long server, long elapsedMicros) {}

        @Override
        public void outcome(
                long now,
                long request,
                int attempt,
                long server,
                Outcome outcome,
                long elapsedMicros,
                boolean closed,
                double[] load) {
            delegate.outcome(now, request, attempt, server, outcome, elapsedMicros, closed, load);
        }

        @Override
        public void clientLeft(long now, long request) {
            delegate.clientLeft(now, request);
        }

        @Override
        public void probeOutcome(long now, long server, Outcome outcome, long elapsedMicros, double[] load) {
            delegate.probeOutcome(now, server, outcome, elapsedMicros, load);
        }

        @Override
        public void message(long now, int from, byte[] message) {}

        @Override
        public void settings(long now, Settings changed) {
            delegate.settings(now, changed);
        }

        @Override
        public int unhealthyServers(long now) {
            return delegate.unhealthyServers(now);
        }

        @Override
        public void timer(long now, long token) {
            delegate.timer(now, token);
        }
    }

    private static gatefront.rehearsal.RehearsalResult run(
            String plan, double seconds, Function<Engine, Balancer> balancerFactory) throws Exception {
        return new Rehearsal(PlanReader.builtIn(plan).withSeconds(seconds), 1, balancerFactory).run();
    }

    /** A short plan in which half of the nodos fail part of the requests immediately and others are slow. */
    private static Plan planWithFailures() throws Exception {
        return PlanReader.builtIn("calm")
                .withSeconds(15)
                .withFaults(List.of(
                        new Fault(Fault.Kind.SLOW, exactly(1), exactly(10), 0.2, List.of(), exactly(2), exactly(1)),
                        new Fault(Fault.Kind.FAIL, exactly(2), exactly(10), 0.5, List.of(), exactly(0.3), exactly(1)),
                        new Fault(
                                Fault.Kind.PADRON_SILENT,
                                exactly(4),
                                exactly(1),
                                0,
                                List.of(),
                                exactly(1),
                                exactly(1))));
    }

    private static NumberRange exactly(double value) {
        return new NumberRange(value, value);
    }

    private static gatefront.rehearsal.RehearsalResult run(Plan plan, Function<Engine, Balancer> balancerFactory) {
        return new Rehearsal(plan, 1, balancerFactory).run();
    }

    /** Refuses requests after a failed attempt, even if the attempt may have run. */
    private static Balancer refuseAfterFailure(Engine engine) {
        return new FaultyBalancer(engine) {
            @Override
            public void outcome(
                    long now,
                    long request,
                    int attempt,
                    long server,
                    Outcome outcome,
                    long elapsedMicros,
                    boolean closed,
                    double[] load) {
                if (outcome == Outcome.ERROR || outcome == Outcome.RESET) {
                    engine.refuse(request, 0);
                    super.outcome(now, request, attempt, server, outcome, elapsedMicros, true, load);
                } else {
                    super.outcome(now, request, attempt, server, outcome, elapsedMicros, closed, load);
                }
            }
        };
    }

    private static Breach firstBreach(gatefront.rehearsal.RehearsalResult result, Rule rule) {
        return result.breaches().stream()
                .filter(breach -> breach.rule() == rule)
                .findFirst()
                .orElseThrow(() -> new AssertionError("rule not broken: "
                        + result.breaches().stream().limit(3).toList()));
    }

    /** Every 50th request is sent to two servers at once. */
    @Test
    void overlappingAttemptsAreDetected() throws Exception {
        var result = run("calm", 8, engine -> new FaultyBalancer(engine) {
            private List<Server> listed = List.of();

            @Override
            public void servers(long now, ListKind kind, List<Server> entries) {
                listed = entries;
                super.servers(now, kind, entries);
            }

            @Override
            public void request(long now, Request request) {
                super.request(now, request);
                if (request.id() % 50 == 0) {
                    engine.send(request.id(), listed.get(0).id(), 400_000);
                }
            }
        });
        Breach breach = firstBreach(result, Rule.NO_EFFECT_TWICE);
        assertFalse(breach.request().isEmpty());
        assertTrue(breach.history().stream().anyMatch(line -> line.contains("attempt 1 at")), breach.toString());
    }

    /** The module is never told that a server drains or is gone. */
    @Test
    void engineEnforcesADrainThatTheModuleIgnores() throws Exception {
        var result = run("calm", 25, engine -> new FaultyBalancer(engine) {
            @Override
            public void servers(long now, ListKind kind, List<Server> entries) {
                List<Server> all = new ArrayList<>();
                for (Server each : entries) {
                    all.add(new Server(
                            each.id(),
                            each.zone(),
                            each.cell(),
                            each.kind(),
                            Phase.READY,
                            each.weight(),
                            each.startedAt()));
                }
                super.servers(now, kind, all);
            }
        });
        // The agent keeps no connection to the drained server, so what the module sends to it is never sent.
        assertEquals(
                0,
                result.breaches().stream()
                        .filter(each -> each.rule() == Rule.DRAINS_KEPT)
                        .count(),
                "the engine enforces the rule although the module does not");
    }

    /** Requests of every class are refused after a failed attempt, even if it may have run. */
    @Test
    void refusalAfterAPossibleEffectIsDetected() throws Exception {
        var result = run(planWithFailures(), FaultyAgentTest::refuseAfterFailure);
        Breach breach = firstBreach(result, Rule.NO_EFFECT_TWICE);
        assertEquals("refused, though an attempt may have run", breach.description());
        assertTrue(
                breach.history().get(0).contains("pago-recibo"),
                "the only class that must not be refused after it may have run");
    }

    /** Keyed requests that may have run are sent to any server, including those of the other sala. */
    @Test
    void retryInAnotherSalaIsDetected() throws Exception {
        var result = run(planWithFailures(), engine -> new FaultyBalancer(engine) {
            private final List<Server> listed = new ArrayList<>();

            @Override
            public void servers(long now, ListKind kind, List<Server> entries) {
                listed.addAll(entries);
                super.servers(now, kind, entries);
            }

            @Override
            public void outcome(
                    long now,
                    long request,
                    int attempt,
                    long server,
                    Outcome result,
                    long elapsedMicros,
                    boolean closed,
                    double[] load) {
                int zone = listed.stream()
                        .filter(each -> each.id() == server)
                        .findFirst()
                        .orElseThrow()
                        .zone();
                if (result == Outcome.ERROR && attempt == 0 && !closed) {
                    Server other = listed.stream()
                            .filter(each -> each.zone() != zone)
                            .findFirst()
                            .orElseThrow();
                    engine.send(request, other.id(), 300_000);
                }
                super.outcome(now, request, attempt, server, result, elapsedMicros, true, load);
            }
        });
        Breach breach = firstBreach(result, Rule.NO_EFFECT_TWICE);
        assertTrue(breach.description().contains("outside of what its class permits"), breach.toString());
        assertTrue(breach.history().get(0).contains("pago-recibo"), breach.toString());
    }

    /** The module never answers some requests. The engine's own timer answers them just in time. */
    @Test
    void engineAnswersARequestThatTheModuleLoses() throws Exception {
        var result = run("calm", 8, engine -> new FaultyBalancer(engine) {
            @Override
            public void request(long now, Request request) {
                if (request.id() % 40 != 0) {
                    super.request(now, request);
                }
            }
        });
        assertEquals(0, result.breachCount(), "the engine answers in place of the module");
        assertTrue(result.log().stream().anyMatch(line -> line.contains("request given up")), "the engine logs it");
    }

    /** The module sends all requests to a cold server without any limit. */
    @Test
    void overloadOfAColdNodoIsDetected() throws Exception {
        var result = run("cashier-rush", 60, engine -> new FaultyBalancer(engine) {
            private long cold;

            @Override
            public void servers(long now, ListKind kind, List<Server> entries) {
                for (Server each : entries) {
                    cold = each.startedAt() > 0 ? each.id() : cold;
                }
                super.servers(now, kind, entries);
            }

            @Override
            public void request(long now, Request request) {
                if (cold != 0) {
                    engine.send(request.id(), cold, 1_000_000);
                } else {
                    super.request(now, request);
                }
            }

            @Override
            public void outcome(
                    long now,
                    long request,
                    int attempt,
                    long server,
                    Outcome result,
                    long elapsedMicros,
                    boolean closed,
                    double[] load) {
                if (cold != 0 && !closed) {
                    engine.fail(request);
                }
                super.outcome(now, request, attempt, server, result, elapsedMicros, true, load);
            }
        });
        assertTrue(firstBreach(result, Rule.NO_COLD_FALL).description().contains("was pushed over"));
    }

    /** The module leaks a timer per request. */
    @Test
    void leakedTimersAreDetected() throws Exception {
        var result = run("calm", 5, engine -> new FaultyBalancer(engine) {
            @Override
            public void request(long now, Request request) {
                engine.timer(-1, 3_600_000_000L);
                super.request(now, request);
            }
        });
        assertTrue(firstBreach(result, Rule.NOTHING_LEFT).description().contains("timers pending"));
    }

    /** Guards against a livelock that hangs the rehearsal: it must be detected and reported. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void livelockIsReportedWithItsEventLoop() throws Exception {
        var result = run("calm", 5, engine -> new FaultyBalancer(engine) {
            @Override
            public void timer(long now, long token) {
                engine.timer(token, 0);
            }
        });
        Breach breach = firstBreach(result, Rule.NOTHING_LEFT);
        assertTrue(
                result.breaches().stream()
                        .anyMatch(each -> each.description().contains("time stands still")
                                && each.description().contains("agent-")),
                breach.toString());
    }

    /** A failing plan is shrunk, and the shrunk plan breaks the same rule after it was written and read again. */
    @Test
    void planIsShrunkToTheFaultThatBreaksTheRule() throws Exception {
        List<String> steps = new ArrayList<>();
        assertNull(
                PlanShrinker.shrink(planWithFailures(), 1, steps::add),
                "no rule is broken, so there is nothing to shrink");
        Plan shrunk = PlanShrinker.shrink(planWithFailures(), 1, FaultyAgentTest::refuseAfterFailure, steps::add);
        assertEquals(
                List.of(Fault.Kind.FAIL),
                shrunk.faults().stream().map(Fault::kind).toList(),
                steps.toString());
        assertTrue(shrunk.faults().get(0).names().size() < 7, steps.toString());
        assertTrue(shrunk.seconds() < 15 && shrunk.clients().rate() <= 210, steps.toString());
        Plan reread = PlanReader.parse("again", PlanWriter.text(shrunk));
        assertEquals(
                "refused, though an attempt may have run",
                firstBreach(run(reread, FaultyAgentTest::refuseAfterFailure), Rule.NO_EFFECT_TWICE)
                        .description());
    }
}
