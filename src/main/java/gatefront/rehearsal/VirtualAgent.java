package gatefront.rehearsal;

import gatefront.agent.Agent;
import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.engine.Engine;
import gatefront.policy.Balancer;
import gatefront.rehearsal.net.Machine;
import gatefront.transport.Transport;
import java.util.function.Function;
import java.util.function.UnaryOperator;

/** The real agent on a machine of the virtual network. */
final class VirtualAgent extends AgentStandIn {
    private final Machine machine;
    private final UnaryOperator<Transport> transportWrapper;
    private final Function<Engine, Balancer> balancerFactory;
    private Agent agent;
    private Runnable whenEnded = () -> {};

    VirtualAgent(
            RunContext context,
            int number,
            Machine machine,
            UnaryOperator<Transport> transportWrapper,
            Function<Engine, Balancer> balancerFactory) {
        super(context, number);
        this.machine = machine;
        this.transportWrapper = transportWrapper;
        this.balancerFactory = balancerFactory;
    }

    @Override
    Machine machine() {
        return machine;
    }

    @Override
    void startProcess() {
        if (!machine.running()) {
            machine.boot();
        }
        Agent started = Agent.start(
                Config.fromJson(config()),
                agentExtensions(),
                transportWrapper.apply(machine.transport()),
                balancerFactory);
        agent = started;
        started.onTermination(() -> {
            if (agent == started) {
                agent = null;
                Runnable callback = whenEnded;
                whenEnded = () -> {};
                context.schedule(0, () -> {
                    context.padron.agentReset(number);
                    callback.run();
                });
            }
        });
    }

    @Override
    boolean ready() {
        return agent != null && agent.ready();
    }

    @Override
    void endProcess() {
        machine.kill();
        agent = null;
        whenEnded = () -> {};
    }

    @Override
    void shutDown(Runnable callback) {
        if (agent == null) {
            callback.run();
            return;
        }
        whenEnded = callback;
        agent.startShutdown();
    }

    @Override
    void reload() {
        if (agent != null) {
            agent.reload(() -> Config.fromJson(config()));
        }
    }

    @Override
    ResourceBudget budget() {
        return agent == null ? null : agent.budget();
    }

    /** Returns the numbers of tracked objects, or null if the agent is not running. */
    Engine.TrackedCounts trackedCounts() {
        return agent == null ? null : agent.outstanding();
    }
}
