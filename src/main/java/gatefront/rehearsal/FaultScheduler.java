package gatefront.rehearsal;

import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.world.Padron;
import java.util.EnumSet;
import java.util.Set;

/** Carries out what goes wrong on a day. */
final class FaultScheduler {
    private static final long SECOND = 1_000_000;
    /** SIGKILL comes so long after SIGTERM: the longest deadline at the most, and then some. */
    private static final long KILL_AFTER = 700_000;

    private static final long REPLACED_AFTER = 1_000;
    /** What happens at a moment, and is shown for a second. */
    private static final Set<Fault.Kind> MOMENTS = EnumSet.of(
            Fault.Kind.REPLACE,
            Fault.Kind.AGENT_RELOAD,
            Fault.Kind.REGISTRY_COMPACT,
            Fault.Kind.LEAVE,
            Fault.Kind.AGENT_RESTART);

    private final RunContext day;
    private final long opensAt;

    private FaultScheduler(RunContext day, long opensAt) {
        this.day = day;
        this.opensAt = opensAt;
    }

    /** Has all troubles of a day come about; its times count from {@code opensAt}. */
    static void schedule(RunContext day, long opensAt) {
        FaultScheduler table = new FaultScheduler(day, opensAt);
        day.cast.troubles().forEach(table::schedule);
    }

    private void schedule(ResolvedPlan.Trouble trouble) {
        Fault.Kind kind = trouble.fault().kind();
        day.record.band(kind.keyword(), trouble.at(), MOMENTS.contains(kind) ? trouble.at() + SECOND : trouble.until());
        switch (kind.target()) {
            case NODOS -> {
                for (int i = 0; i < trouble.targets().length; i++) {
                    int target = trouble.targets()[i];
                    long at = opensAt + trouble.at() + trouble.later(i);
                    day.at(at, () -> begin(trouble, day.nodos.get(target)));
                    day.at(at + trouble.lasts(), () -> end(trouble, day.nodos.get(target)));
                }
            }
            case AGENTS -> {
                for (int i = 0; i < trouble.targets().length; i++) {
                    AgentStandIn agent = day.agents.get(trouble.targets()[i]);
                    long apart = kind == Fault.Kind.AGENT_RESTART ? i * trouble.lasts() : trouble.later(i);
                    day.at(opensAt + trouble.at() + apart, () -> agent(trouble, agent));
                }
                if (kind == Fault.Kind.AGENT_RELOAD) {
                    day.at(opensAt + trouble.at(), day.padron::move);
                }
            }
            case NONE -> {
                if (kind == Fault.Kind.PADRON_SILENT) {
                    day.at(opensAt + trouble.at(), () -> day.padron.silent(true));
                    day.at(opensAt + trouble.until(), () -> day.padron.silent(false));
                } else if (kind == Fault.Kind.REGISTRY_DOWN) {
                    day.at(opensAt + trouble.at(), () -> day.padron.registryDown(true));
                    day.at(opensAt + trouble.until(), () -> day.padron.registryDown(false));
                } else if (kind == Fault.Kind.REGISTRY_SLOW) {
                    day.at(opensAt + trouble.at(), () -> day.padron.registryLate(trouble.size()));
                    day.at(opensAt + trouble.until(), () -> day.padron.registryLate(0));
                } else if (kind == Fault.Kind.REGISTRY_COMPACT) {
                    day.at(opensAt + trouble.at(), day.padron::compact);
                } // a jump is in the demand, hurry in the callers
            }
        }
    }

    private void begin(ResolvedPlan.Trouble trouble, NodoStandIn nodo) {
        switch (trouble.fault().kind()) {
            case DIE -> {
                if (nodo.up()) {
                    nodo.kill();
                    day.padron.learnsStatus(nodo, Padron.Status.GONE);
                }
            }
            case VANISH -> {
                if (nodo.up()) {
                    nodo.machine().vanish();
                    nodo.kill();
                }
            }
            case CUT_OFF -> nodo.machine().vanish();
            case SLOW -> nodo.slow(trouble.size());
            case FAIL -> nodo.failing(trouble.size());
            case TAKEN -> take(trouble, nodo, true);
            case SUCCEED -> succeed(trouble, nodo);
            case BREAK_OFF -> nodo.breakOff(trouble.size());
            case DRAIN, LEAVE -> drain(nodo, true);
            case REPLACE -> {
                if (nodo.up()) {
                    nodo.kill();
                    day.padron.learnsStatus(nodo, Padron.Status.GONE);
                    nodo.machine().boot();
                    NodoStandIn fresh = day.addNodo(nodo.spec(), nodo.machine());
                    nodo.leaves();
                    // Guards against an address in use: a socket is free only after its loop has looked once more.
                    day.at(day.now() + REPLACED_AFTER, () -> {
                        fresh.start(true);
                        day.padron.learnsStart(fresh);
                    });
                }
            }
            default -> throw new IllegalStateException(trouble.fault().kind().keyword());
        }
    }

    /** A release as careful staff do it: the new one is there before the old one is told to drain. */
    private void succeed(ResolvedPlan.Trouble trouble, NodoStandIn nodo) {
        if (!nodo.up()) {
            return;
        }
        NodoStandIn fresh = day.addNodo(nodo.spec());
        fresh.start(true);
        day.padron.learnsStart(fresh);
        day.at(day.now() + trouble.lasts() / 3, () -> drain(nodo, true));
    }

    /** Told to take nothing new, or taken back. */
    private void drain(NodoStandIn nodo, boolean on) {
        if (nodo.up()) {
            nodo.leaving(on);
            day.padron.learnsStatus(nodo, on ? Padron.Status.TERMINATING : Padron.Status.READY);
        }
    }

    private void take(ResolvedPlan.Trouble trouble, NodoStandIn nodo, boolean on) {
        if (day.now() < opensAt + trouble.until()) {
            nodo.taken(on ? trouble.size() : 0);
            day.at(day.now() + trouble.every(), () -> take(trouble, nodo, !on));
        }
    }

    private void end(ResolvedPlan.Trouble trouble, NodoStandIn nodo) {
        switch (trouble.fault().kind()) {
            case DIE -> back(nodo);
            case VANISH -> {
                nodo.machine().appear();
                back(nodo);
            }
            case CUT_OFF -> nodo.machine().appear();
            case SLOW -> nodo.slow(1);
            case FAIL -> nodo.failing(0);
            case TAKEN -> nodo.taken(0);
            case BREAK_OFF -> nodo.breakOff(0);
            case DRAIN -> drain(nodo, false);
            case LEAVE, SUCCEED -> {
                if (nodo.up()) {
                    nodo.kill();
                    nodo.leaves();
                    day.padron.learnsStatus(nodo, Padron.Status.GONE);
                }
            }
            default -> {}
        }
    }

    /** A process that has died starts again, cold. */
    private void back(NodoStandIn nodo) {
        if (!nodo.up() && !nodo.hasLeft()) {
            nodo.machine().boot();
            nodo.start(true);
            day.padron.learnsStart(nodo);
        }
    }

    private void agent(ResolvedPlan.Trouble trouble, AgentStandIn agent) {
        switch (trouble.fault().kind()) {
            case AGENT_KILL -> {
                agent.kill();
                day.at(day.now() + trouble.lasts(), () -> {
                    if (!agent.machine().running()) {
                        agent.start();
                    }
                });
            }
            case AGENT_RESTART -> restart(agent);
            case AGENT_RELOAD -> day.at(day.now() + 10_000, agent::reload);
            default -> throw new IllegalStateException(trouble.fault().kind().keyword());
        }
    }

    private void restart(AgentStandIn agent) {
        if (!agent.machine().running()) {
            return; // it has been killed
        }
        long longest = (long) (1000
                * day.plan.classes().stream()
                        .mapToDouble(each -> each.timeoutMs())
                        .max()
                        .orElse(0));
        int mine = agent.processes();
        agent.leave(() -> {
            if (agent.processes() == mine) {
                agent.start();
            }
        });
        day.at(day.now() + longest + KILL_AFTER, () -> {
            if (agent.processes() == mine && agent.machine().running()) {
                day.checker.left(day.now(), agent.name() + " had not ended when SIGKILL came after SIGTERM");
                agent.kill();
                agent.start();
            }
        });
    }
}
