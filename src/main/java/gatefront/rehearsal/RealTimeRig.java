package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.processes.LoopLateness;

/** Reports the lateness of a real-time rig to the checks. Processes reach each other directly. */
class RealTimeRig implements RunContext.Ways, RuleChecker.Rig {
    final RunContext context;
    final LoopLateness lateness;

    RealTimeRig(RunContext context, LoopLateness lateness) {
        this.context = context;
        this.lateness = lateness;
    }

    @Override
    public final long late(long from, long until) {
        return lateness.maxBetween(context.clock(from), context.clock(until));
    }

    @Override
    public void note(long at, String request, String what) {}
}
