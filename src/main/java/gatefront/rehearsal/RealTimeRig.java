package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.processes.LoopLateness;

/** Reports the lateness of a real-time rig to the checks. Processes reach each other directly. */
class RealTimeRig implements RunContext.NetworkPaths, RuleChecker.Environment {
    final RunContext context;
    final LoopLateness lateness;

    RealTimeRig(RunContext context, LoopLateness lateness) {
        this.context = context;
        this.lateness = lateness;
    }

    @Override
    public long maxStallMicros(long from, long until) {
        return lateness.maxBetween(context.toClockMicros(from), context.toClockMicros(until));
    }

    @Override
    public void requestEvent(long at, String request, String what) {}
}
