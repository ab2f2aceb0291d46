package gatefront.rehearsal.processes;

import gatefront.rehearsal.plan.Plan;
import java.util.List;

/**
 * What a rehearsal with several processes plays.
 *
 * @param name for the report
 * @param day the world: nodos, callers, rules, and what goes wrong there
 * @param keeps whether agents keep what they are to know again after a restart
 * @param faults what goes wrong with the processes, their folders and links
 */
public record ProcessPlan(String name, Plan day, boolean keeps, List<ProcessFault> faults) {
    /** The same day with nothing going wrong: what it is compared with. */
    public ProcessPlan twin() {
        return new ProcessPlan(
                name,
                day.with(List.of()),
                keeps,
                faults.stream().filter(each -> each.kind().byHand()).toList());
    }

    /** When the first fault comes that is no call by hand, in seconds; negative if none does. */
    public double firstFault() {
        return faults.stream()
                .filter(each -> !each.kind().byHand())
                .mapToDouble(each -> each.at().low())
                .min()
                .orElse(-1);
    }
}
