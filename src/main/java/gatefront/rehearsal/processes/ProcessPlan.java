package gatefront.rehearsal.processes;

import gatefront.rehearsal.plan.Plan;
import java.util.List;

/**
 * The plan of a rehearsal with several processes.
 *
 * @param name the name in the report
 * @param basePlan servers, clients, rules, and the faults of the simulated world
 * @param recoveryEnabled whether agents store the state that they recover after a restart
 * @param faults the faults of the processes, their folders and their links, and the operator commands
 */
public record ProcessPlan(String name, Plan basePlan, boolean recoveryEnabled, List<ProcessFault> faults) {
    /** Returns the same plan without faults, for comparison; operator commands stay. */
    public ProcessPlan baseline() {
        return new ProcessPlan(
                name,
                basePlan.withFaults(List.of()),
                recoveryEnabled,
                faults.stream().filter(fault -> fault.kind().isOperatorCall()).toList());
    }

    /** Returns when the first fault begins that is no operator command, in seconds; negative if there is none. */
    public double firstFaultSecond() {
        return faults.stream()
                .filter(fault -> !fault.kind().isOperatorCall())
                .mapToDouble(fault -> fault.at().low())
                .min()
                .orElse(-1);
    }
}
