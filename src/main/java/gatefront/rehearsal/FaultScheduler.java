package gatefront.rehearsal;

import gatefront.rehearsal.plan.Fault;
import gatefront.rehearsal.world.Padron;
import java.util.EnumSet;
import java.util.Set;

/** Schedules and carries out the faults of a run. */
final class FaultScheduler {
    private static final long SECOND_MICROS = 1_000_000;
    /** Time from SIGTERM to SIGKILL beyond the longest deadline, in microseconds. */
    private static final long KILL_DELAY_MICROS = 700_000;

    private static final long REPLACEMENT_DELAY_MICROS = 1_000;
    /** Faults that happen at an instant; the report shows them for a second. */
    private static final Set<Fault.Kind> INSTANTANEOUS = EnumSet.of(
            Fault.Kind.REPLACE,
            Fault.Kind.AGENT_RELOAD,
            Fault.Kind.REGISTRY_COMPACT,
            Fault.Kind.LEAVE,
            Fault.Kind.AGENT_RESTART);

    private final RunContext context;
    private final long openingMicros;

    private FaultScheduler(RunContext context, long openingMicros) {
        this.context = context;
        this.openingMicros = openingMicros;
    }

    /** Schedules all faults of a run; their times count from {@code openingMicros}. */
    static void schedule(RunContext context, long openingMicros) {
        FaultScheduler scheduler = new FaultScheduler(context, openingMicros);
        context.resolvedPlan.faults().forEach(scheduler::schedule);
    }

    private void schedule(ResolvedPlan.ScheduledFault scheduled) {
        Fault.Kind kind = scheduled.fault().kind();
        context.recorder.addFaultBand(
                kind.keyword(),
                scheduled.startMicros(),
                INSTANTANEOUS.contains(kind) ? scheduled.startMicros() + SECOND_MICROS : scheduled.endMicros());
        switch (kind.target()) {
            case NODOS -> {
                for (int i = 0; i < scheduled.targets().length; i++) {
                    int index = scheduled.targets()[i];
                    long at = openingMicros + scheduled.startMicros() + scheduled.offsetMicros(i);
                    context.schedule(at, () -> beginOnNodo(scheduled, context.nodos.get(index)));
                    context.schedule(
                            at + scheduled.durationMicros(), () -> endOnNodo(scheduled, context.nodos.get(index)));
                }
            }
            case AGENTS -> {
                for (int i = 0; i < scheduled.targets().length; i++) {
                    AgentStandIn agent = context.agents.get(scheduled.targets()[i]);
                    long offsetMicros = kind == Fault.Kind.AGENT_RESTART
                            ? i * scheduled.durationMicros()
                            : scheduled.offsetMicros(i);
                    context.schedule(
                            openingMicros + scheduled.startMicros() + offsetMicros,
                            () -> beginOnAgent(scheduled, agent));
                }
                if (kind == Fault.Kind.AGENT_RELOAD) {
                    context.schedule(openingMicros + scheduled.startMicros(), context.padron::moveAddress);
                }
            }
            case NONE -> {
                if (kind == Fault.Kind.PADRON_SILENT) {
                    context.schedule(openingMicros + scheduled.startMicros(), () -> context.padron.setSilent(true));
                    context.schedule(openingMicros + scheduled.endMicros(), () -> context.padron.setSilent(false));
                } else if (kind == Fault.Kind.REGISTRY_DOWN) {
                    context.schedule(
                            openingMicros + scheduled.startMicros(), () -> context.padron.setRegistryDown(true));
                    context.schedule(
                            openingMicros + scheduled.endMicros(), () -> context.padron.setRegistryDown(false));
                } else if (kind == Fault.Kind.REGISTRY_SLOW) {
                    context.schedule(
                            openingMicros + scheduled.startMicros(),
                            () -> context.padron.setRegistryDelay(scheduled.size()));
                    context.schedule(openingMicros + scheduled.endMicros(), () -> context.padron.setRegistryDelay(0));
                } else if (kind == Fault.Kind.REGISTRY_COMPACT) {
                    context.schedule(openingMicros + scheduled.startMicros(), context.padron::compactRegistry);
                } // a jump is part of the demand, hurry is handled by the clients
            }
        }
    }

    private void beginOnNodo(ResolvedPlan.ScheduledFault scheduled, NodoStandIn nodo) {
        switch (scheduled.fault().kind()) {
            case DIE -> {
                if (nodo.up()) {
                    nodo.kill();
                    context.padron.changeStatus(nodo, Padron.Status.GONE);
                }
            }
            case VANISH -> {
                if (nodo.up()) {
                    nodo.machine().isolate();
                    nodo.kill();
                }
            }
            case CUT_OFF -> nodo.machine().isolate();
            case SLOW -> nodo.setSlowdown(scheduled.size());
            case FAIL -> nodo.setFailureShare(scheduled.size());
            case TAKEN -> toggleStolenShare(scheduled, nodo, true);
            case SUCCEED -> rollOver(scheduled, nodo);
            case BREAK_OFF -> nodo.setBreakOffShare(scheduled.size());
            case DRAIN, LEAVE -> drain(nodo, true);
            case REPLACE -> {
                if (nodo.up()) {
                    nodo.kill();
                    context.padron.changeStatus(nodo, Padron.Status.GONE);
                    nodo.machine().boot();
                    NodoStandIn replacement = context.addNodo(nodo.spec(), nodo.machine());
                    nodo.depart();
                    // Guards against "address already in use": a socket is released only after its event loop has run
                    // once more.
                    context.schedule(context.now() + REPLACEMENT_DELAY_MICROS, () -> {
                        replacement.start(true);
                        context.padron.listStarted(replacement);
                    });
                }
            }
            default -> throw new IllegalStateException(scheduled.fault().kind().keyword());
        }
    }

    /** A careful release: the replacement starts before the old nodo is told to drain. */
    private void rollOver(ResolvedPlan.ScheduledFault scheduled, NodoStandIn nodo) {
        if (!nodo.up()) {
            return;
        }
        NodoStandIn replacement = context.addNodo(nodo.spec());
        replacement.start(true);
        context.padron.listStarted(replacement);
        context.schedule(context.now() + scheduled.durationMicros() / 3, () -> drain(nodo, true));
    }

    /** Starts or ends a drain of the nodo. */
    private void drain(NodoStandIn nodo, boolean draining) {
        if (nodo.up()) {
            nodo.draining(draining);
            context.padron.changeStatus(nodo, draining ? Padron.Status.TERMINATING : Padron.Status.READY);
        }
    }

    private void toggleStolenShare(ResolvedPlan.ScheduledFault scheduled, NodoStandIn nodo, boolean stolen) {
        if (context.now() < openingMicros + scheduled.endMicros()) {
            nodo.setStolenShare(stolen ? scheduled.size() : 0);
            context.schedule(
                    context.now() + scheduled.periodMicros(), () -> toggleStolenShare(scheduled, nodo, !stolen));
        }
    }

    private void endOnNodo(ResolvedPlan.ScheduledFault scheduled, NodoStandIn nodo) {
        switch (scheduled.fault().kind()) {
            case DIE -> restartNodo(nodo);
            case VANISH -> {
                nodo.machine().reconnect();
                restartNodo(nodo);
            }
            case CUT_OFF -> nodo.machine().reconnect();
            case SLOW -> nodo.setSlowdown(1);
            case FAIL -> nodo.setFailureShare(0);
            case TAKEN -> nodo.setStolenShare(0);
            case BREAK_OFF -> nodo.setBreakOffShare(0);
            case DRAIN -> drain(nodo, false);
            case LEAVE, SUCCEED -> {
                if (nodo.up()) {
                    nodo.kill();
                    nodo.depart();
                    context.padron.changeStatus(nodo, Padron.Status.GONE);
                }
            }
            default -> {}
        }
    }

    /** Restarts a process that has ended; it starts cold. */
    private void restartNodo(NodoStandIn nodo) {
        if (!nodo.up() && !nodo.departed()) {
            nodo.machine().boot();
            nodo.start(true);
            context.padron.listStarted(nodo);
        }
    }

    private void beginOnAgent(ResolvedPlan.ScheduledFault scheduled, AgentStandIn agent) {
        switch (scheduled.fault().kind()) {
            case AGENT_KILL -> {
                agent.kill();
                context.schedule(context.now() + scheduled.durationMicros(), () -> {
                    if (!agent.machine().running()) {
                        agent.start();
                    }
                });
            }
            case AGENT_RESTART -> restartAgent(agent);
            case AGENT_RELOAD -> context.schedule(context.now() + 10_000, agent::reload);
            default -> throw new IllegalStateException(scheduled.fault().kind().keyword());
        }
    }

    private void restartAgent(AgentStandIn agent) {
        if (!agent.machine().running()) {
            return; // it has been killed
        }
        long longestDeadlineMicros = (long) (1000
                * context.plan.classes().stream()
                        .mapToDouble(requestClass -> requestClass.timeoutMs())
                        .max()
                        .orElse(0));
        int processNumber = agent.processCount();
        agent.shutDown(() -> {
            if (agent.processCount() == processNumber) {
                agent.start();
            }
        });
        context.schedule(context.now() + longestDeadlineMicros + KILL_DELAY_MICROS, () -> {
            if (agent.processCount() == processNumber && agent.machine().running()) {
                context.checker.reportLeftover(
                        context.now(), agent.name() + " had not ended when SIGKILL came after SIGTERM");
                agent.kill();
                agent.start();
            }
        });
    }
}
