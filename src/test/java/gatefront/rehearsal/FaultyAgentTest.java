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

/** The kit can fail: an agent whose decision module is faulty on purpose is caught, with the right request. */
class FaultyAgentTest {
    /** A module that does one thing wrong and the rest right. */
    abstract static class Faulty implements Balancer {
        final Balancer right;
        final Engine agent;

        Faulty(Engine agent) {
            this.agent = agent;
            this.right = Engine.createDefaultBalancer(agent);
        }

        @Override
        public void servers(long now, ListKind kind, List<Server> entries) {
            right.servers(now, kind, entries);
        }

        @Override
        public void request(long now, Request request) {
            right.request(now, request);
        }

        @Override
        public void streamStarted(long now, long request, int attempt, long server, long spent) {}

        @Override
        public void outcome(
                long now,
                long request,
                int attempt,
                long server,
                Outcome outcome,
                long spent,
                boolean closed,
                double[] load) {
            right.outcome(now, request, attempt, server, outcome, spent, closed, load);
        }

        @Override
        public void clientLeft(long now, long request) {
            right.clientLeft(now, request);
        }

        @Override
        public void probeOutcome(long now, long server, Outcome outcome, long spent, double[] load) {
            right.probeOutcome(now, server, outcome, spent, load);
        }

        @Override
        public void message(long now, int from, byte[] message) {}

        @Override
        public void settings(long now, Settings changed) {
            right.settings(now, changed);
        }

        @Override
        public int unhealthyServers(long now) {
            return right.unhealthyServers(now);
        }

        @Override
        public void timer(long now, long token) {
            right.timer(now, token);
        }
    }

    private static gatefront.rehearsal.RehearsalResult play(
            String plan, double seconds, Function<Engine, Balancer> module) throws Exception {
        return new Rehearsal(PlanReader.builtIn(plan).withSeconds(seconds), 1, module).play();
    }

    /** A short day on which half of the nodos fail a part of the requests at once, and others are slow. */
    private static Plan failing() throws Exception {
        return PlanReader.builtIn("calm")
                .withSeconds(15)
                .withFaults(List.of(
                        new Fault(Fault.Kind.SLOW, at(1), at(10), 0.2, List.of(), at(2), at(1)),
                        new Fault(Fault.Kind.FAIL, at(2), at(10), 0.5, List.of(), at(0.3), at(1)),
                        new Fault(Fault.Kind.PADRON_SILENT, at(4), at(1), 0, List.of(), at(1), at(1))));
    }

    private static NumberRange at(double figure) {
        return new NumberRange(figure, figure);
    }

    private static gatefront.rehearsal.RehearsalResult play(Plan plan, Function<Engine, Balancer> module) {
        return new Rehearsal(plan, 1, module).play();
    }

    /** Refuses what has failed, whatever it may have done. */
    private static Balancer refuses(Engine agent) {
        return new Faulty(agent) {
            @Override
            public void outcome(
                    long now,
                    long request,
                    int attempt,
                    long server,
                    Outcome outcome,
                    long spent,
                    boolean closed,
                    double[] load) {
                if (outcome == Outcome.ERROR || outcome == Outcome.RESET) {
                    agent.refuse(request, 0);
                    super.outcome(now, request, attempt, server, outcome, spent, true, load);
                } else {
                    super.outcome(now, request, attempt, server, outcome, spent, closed, load);
                }
            }
        };
    }

    private static Breach first(gatefront.rehearsal.RehearsalResult outcome, Rule rule) {
        return outcome.breaches().stream()
                .filter(each -> each.rule() == rule)
                .findFirst()
                .orElseThrow(() -> new AssertionError(
                        "not caught: " + outcome.breaches().stream().limit(3).toList()));
    }

    /** Every 50th request is sent to two servers at once. */
    @Test
    void twoAttemptsAtOnceAreCaught() throws Exception {
        var outcome = play("calm", 8, agent -> new Faulty(agent) {
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
                    agent.send(request.id(), listed.get(0).id(), 400_000);
                }
            }
        });
        Breach breach = first(outcome, Rule.NO_EFFECT_TWICE);
        assertFalse(breach.request().isEmpty());
        assertTrue(breach.history().stream().anyMatch(line -> line.contains("attempt 1 at")), breach.toString());
    }

    /** The module never hears that a server drains or is gone. */
    @Test
    void aDrainThatTheModuleDisregardsIsHeldByTheEngine() throws Exception {
        var outcome = play("calm", 25, agent -> new Faulty(agent) {
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
        // The agent keeps no connection to it, but the module goes on choosing it: what it sends is never sent.
        assertEquals(
                0,
                outcome.breaches().stream()
                        .filter(each -> each.rule() == Rule.DRAINS_KEPT)
                        .count(),
                "the engine holds the rule though the module does not");
    }

    /** Requests of every class are refused once an attempt has failed, whatever it may have done. */
    @Test
    void aRefusalOfWhatMayHaveRunIsCaught() throws Exception {
        var outcome = play(failing(), FaultyAgentTest::refuses);
        Breach breach = first(outcome, Rule.NO_EFFECT_TWICE);
        assertEquals("refused, though an attempt may have run", breach.what());
        assertTrue(breach.history().get(0).contains("pago-recibo"), "the one class that may not be refused then");
    }

    /** Keyed requests that may have run go to any server, also of the other sala. */
    @Test
    void aRepeatOutsideOfItsSalaIsCaught() throws Exception {
        var outcome = play(failing(), agent -> new Faulty(agent) {
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
                    Outcome outcome,
                    long spent,
                    boolean closed,
                    double[] load) {
                int zone = listed.stream()
                        .filter(each -> each.id() == server)
                        .findFirst()
                        .orElseThrow()
                        .zone();
                if (outcome == Outcome.ERROR && attempt == 0 && !closed) {
                    Server other = listed.stream()
                            .filter(each -> each.zone() != zone)
                            .findFirst()
                            .orElseThrow();
                    agent.send(request, other.id(), 300_000);
                }
                super.outcome(now, request, attempt, server, outcome, spent, true, load);
            }
        });
        Breach breach = first(outcome, Rule.NO_EFFECT_TWICE);
        assertTrue(breach.what().contains("outside of what its class permits"), breach.toString());
        assertTrue(breach.history().get(0).contains("pago-recibo"), breach.toString());
    }

    /** Some requests are never answered by the module. The engine's own guard answers them just in time. */
    @Test
    void aRequestThatTheModuleLosesIsStillAnsweredByTheEngine() throws Exception {
        var outcome = play("calm", 8, agent -> new Faulty(agent) {
            @Override
            public void request(long now, Request request) {
                if (request.id() % 40 != 0) {
                    super.request(now, request);
                }
            }
        });
        assertEquals(0, outcome.broken(), "the engine answers for it");
        assertTrue(outcome.log().stream().anyMatch(line -> line.contains("request given up")), "and says so");
    }

    /** All that a module holds back for cold servers is let go at once. */
    @Test
    void aColdNodoThatIsPushedOverIsCaught() throws Exception {
        var outcome = play("cashier-rush", 60, agent -> new Faulty(agent) {
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
                    agent.send(request.id(), cold, 1_000_000);
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
                    Outcome outcome,
                    long spent,
                    boolean closed,
                    double[] load) {
                if (cold != 0 && !closed) {
                    agent.fail(request);
                }
                super.outcome(now, request, attempt, server, outcome, spent, true, load);
            }
        });
        assertTrue(first(outcome, Rule.NO_COLD_FALL).what().contains("was pushed over"));
    }

    /** A timer for each request that nobody takes back. */
    @Test
    void timersThatAreLeftBehindAreCaught() throws Exception {
        var outcome = play("calm", 5, agent -> new Faulty(agent) {
            @Override
            public void request(long now, Request request) {
                agent.timer(-1, 3_600_000_000L);
                super.request(now, request);
            }
        });
        assertTrue(first(outcome, Rule.NOTHING_LEFT).what().contains("timers pending"));
    }

    /** Guards against a livelock that hangs the rehearsal: it is found and named. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void timeThatStandsStillIsReportedWithItsLoop() throws Exception {
        var outcome = play("calm", 5, agent -> new Faulty(agent) {
            @Override
            public void timer(long now, long token) {
                agent.timer(token, 0);
            }
        });
        Breach breach = first(outcome, Rule.NOTHING_LEFT);
        assertTrue(
                outcome.breaches().stream()
                        .anyMatch(each -> each.what().contains("time stands still")
                                && each.what().contains("agent-")),
                breach.toString());
    }

    /** A broken seed is cut down, and what is written breaks the same rule when it is read again. */
    @Test
    void aPlanIsCutDownToWhatBreaksTheRule() throws Exception {
        List<String> steps = new ArrayList<>();
        assertNull(PlanShrinker.shrink(failing(), 1, steps::add), "nothing breaks, nothing to cut down");
        Plan small = PlanShrinker.shrink(failing(), 1, FaultyAgentTest::refuses, steps::add);
        assertEquals(
                List.of(Fault.Kind.FAIL),
                small.faults().stream().map(Fault::kind).toList(),
                steps.toString());
        assertTrue(small.faults().get(0).names().size() < 7, steps.toString());
        assertTrue(small.seconds() < 15 && small.clients().rate() <= 210, steps.toString());
        Plan again = PlanReader.parse("again", PlanWriter.text(small));
        assertEquals(
                "refused, though an attempt may have run",
                first(play(again, FaultyAgentTest::refuses), Rule.NO_EFFECT_TWICE)
                        .what());
    }
}
