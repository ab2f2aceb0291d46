package gatefront.rehearsal;

import gatefront.rehearsal.check.RuleChecker;
import gatefront.rehearsal.processes.Lateness;

/** What a rig in real time tells the judge of itself; nothing stands between the processes. */
class Rig implements Day.Ways, RuleChecker.Rig {
    final Day day;
    final Lateness lateness;

    Rig(Day day, Lateness lateness) {
        this.day = day;
        this.lateness = lateness;
    }

    @Override
    public final long late(long from, long until) {
        return lateness.between(day.clock(from), day.clock(until));
    }

    @Override
    public void note(long at, String request, String what) {}
}
