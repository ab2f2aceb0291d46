package gatefront.rehearsal.processes;

import gatefront.rehearsal.plan.Plan;
import java.util.List;

/**
 * What a rehearsal with several processes plays.
 *
 * @param name for the report
 * @param basePlan the world: nodos, callers, rules, and what goes wrong there
 * @param recoveryEnabled whether agents keep what they are to know again after a restart
 * @param faults what goes wrong with the processes, their folders and links
 */
public record ProcessPlan(String name, Plan basePlan, boolean recoveryEnabled, List<ProcessFault> faults) {
    /** The same day with nothing going wrong: what it is compared with. */
    public ProcessPlan baseline() {
        return new ProcessPlan(
                name,
                basePlan.withFaults(List.of()),
                recoveryEnabled,
                faults.stream().filter(each -> each.kind().isOperatorCall()).toList());
    }

    /** When the first fault comes that is no call by hand, in seconds; negative if none does. */
    public double firstFaultSecond() {
        return faults.stream()
                .filter(each -> !each.kind().isOperatorCall())
                .mapToDouble(each -> each.at().low())
                .min()
                .orElse(-1);
    }
}
