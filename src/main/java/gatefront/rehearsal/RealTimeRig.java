package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.processes.LoopLateness;

/** What a rig in real time tells the judge of itself; nothing stands between the processes. */
class RealTimeRig implements RunContext.NetworkPaths, RuleChecker.Environment {
    final RunContext context;
    final LoopLateness lateness;

    RealTimeRig(RunContext day, LoopLateness lateness) {
        this.context = day;
        this.lateness = lateness;
    }

    @Override
    public final long maxStallMicros(long from, long until) {
        return lateness.between(context.toClockMicros(from), context.toClockMicros(until));
    }

    @Override
    public void requestEvent(long at, String request, String what) {}
}
