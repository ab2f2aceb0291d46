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
    private final UnaryOperator<Transport> outside;
    private final Function<Engine, Balancer> module;
    private Agent agent;
    private Runnable ended = () -> {};

    VirtualAgent(
            RunContext day,
            int number,
            Machine machine,
            UnaryOperator<Transport> outside,
            Function<Engine, Balancer> module) {
        super(day, number);
        this.machine = machine;
        this.outside = outside;
        this.module = module;
    }

    @Override
    Machine machine() {
        return machine;
    }

    @Override
    void begin() {
        if (!machine.running()) {
            machine.boot();
        }
        Agent mine = Agent.start(Config.fromJson(config()), besides(), outside.apply(machine.transport()), module);
        agent = mine;
        mine.onTermination(() -> {
            if (agent == mine) {
                agent = null;
                Runnable then = ended;
                ended = () -> {};
                day.at(0, () -> {
                    day.padron.forgot(number);
                    then.run();
                });
            }
        });
    }

    @Override
    boolean ready() {
        return agent != null && agent.ready();
    }

    @Override
    void end() {
        machine.kill();
        agent = null;
        ended = () -> {};
    }

    @Override
    void leave(Runnable then) {
        if (agent == null) {
            then.run();
            return;
        }
        ended = then;
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

    /** What it holds, or null if it does not run. */
    Engine.TrackedCounts held() {
        return agent == null ? null : agent.outstanding();
    }
}
