package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.processes.LoopLateness;

/** What a rig in real time tells the judge of itself; nothing stands between the processes. */
class RealTimeRig implements RunContext.Ways, RuleChecker.Rig {
    final RunContext day;
    final LoopLateness lateness;

    RealTimeRig(RunContext day, LoopLateness lateness) {
        this.day = day;
        this.lateness = lateness;
    }

    @Override
    public final long late(long from, long until) {
        return lateness.maxBetween(day.clock(from), day.clock(until));
    }

    @Override
    public void note(long at, String request, String what) {}
}
