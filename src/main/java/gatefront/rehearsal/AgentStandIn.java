package gatefront.rehearsal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gatefront.agent.Extensions;
import gatefront.budget.ResourceBudget;
import gatefront.policy.Balancer.Semantics;
import gatefront.rehearsal.net.Machine;
import gatefront.rehearsal.plan.Plan;
import gatefront.thrift.ThriftSettings;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One agent and its machine: how it is configured, started and stopped. */
abstract class AgentStandIn {
    static final int PORT = 3000;
    static final int THRIFT_PORT = 3001;

    final RunContext context;
    final int number;
    private long killedMicros = -1;
    private int processCount;

    AgentStandIn(RunContext context, int number) {
        this.context = context;
        this.number = number;
    }

    abstract Machine machine();

    /** Returns the address that the agent listens at. */
    InetSocketAddress address() {
        return machine().address(PORT);
    }

    /** Returns the address that its clients connect to. */
    InetSocketAddress clientAddress() {
        return address();
    }

    /** Returns the address that the agent listens at for Thrift. */
    InetSocketAddress thriftAddress() {
        return machine().address(THRIFT_PORT);
    }

    /** Returns the agent's extensions: Thrift and the registry. */
    final Extensions agentExtensions() {
        return new Extensions(thrift(), context.padron.registrySettings(number), null, null);
    }

    /** Returns the Thrift settings, or null if the agent does not speak Thrift. */
    ThriftSettings thrift() {
        if (context.thriftFormat == null) {
            return null;
        }
        Map<String, ThriftSettings.Method> methods = new LinkedHashMap<>();
        for (int i = 0; i < context.plan.classes().size(); i++) {
            methods.put(context.plan.classes().get(i).name(), new ThriftSettings.Method(i, true));
        }
        return new ThriftSettings(
                thriftAddress(), null, NodoStandIn.THRIFT_PORT, context.thriftFormat.framed(), true, methods);
    }

    String name() {
        return "agent-" + (number + 1);
    }

    /** Starts a new process. */
    final void start() {
        processCount++;
        startProcess();
    }

    abstract void startProcess();

    /** Returns the number of processes started so far, which identifies the current process. */
    int processCount() {
        return processCount;
    }

    /** Whether the agent reports that it is ready. */
    abstract boolean ready();

    /** Kills the process. */
    void kill() {
        killedMicros = context.now();
        endProcess();
        context.padron.agentReset(number);
    }

    abstract void endProcess();

    /** Returns the resource budget, or null if it cannot be observed. */
    ResourceBudget budget() {
        return null;
    }

    /** Requests an orderly shutdown, as SIGTERM does; {@code whenEnded} runs when the process has ended. */
    abstract void shutDown(Runnable whenEnded);

    /** Reloads the configuration, as SIGHUP does. */
    abstract void reload();

    /** Whether the agent has not been killed since a time, so that responses to requests accepted then are due. */
    boolean aliveSince(long sinceMicros) {
        return killedMicros < sinceMicros;
    }

    /** Returns the current configuration in the format of the platform's file. */
    ObjectNode config() {
        Plan plan = context.plan;
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        InetSocketAddress address = address();
        root.put("name", name())
                .put("listen", address.getAddress().getHostAddress() + ":" + address.getPort())
                .put("discovery", context.padron.address(number))
                .put(
                        "seed",
                        Long.toHexString(context.random("agent " + number + " at " + context.now())
                                .nextLong()));
        root.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", plan.agents().memoryMb())
                .put("sockets", plan.agents().maxSockets());
        root.set("known", context.padron.snapshot(number));
        settings(root.putObject("settings"));
        return root;
    }

    private void settings(ObjectNode settings) {
        Plan plan = context.plan;
        Plan.Nodos nodos = plan.nodos();
        settings.putObject("caps")
                .put("cancel", true)
                .put("dial-timeout-us", 200_000)
                .put("idle-close-us", micros(1000 * nodos.idleTimeoutSeconds()))
                .put("max-attempts", plan.rules().maxAttempts())
                .put("may-duplicate", false)
                .put("peers", false)
                .put("probes", true)
                .put("retry-after", plan.clients().retryAfterMs() > 0)
                .put("max-retry-after-us", micros(plan.clients().retryAfterMs()));
        ArrayNode classes = settings.putArray("classes");
        for (Plan.RequestClass requestClass : plan.classes()) {
            ObjectNode node = classes.addObject()
                    .put("name", requestClass.name())
                    .put("semantics", requestClass.semantics().name().toLowerCase(Locale.ROOT))
                    .put("aim-us", micros(requestClass.targetMs()))
                    .put("give-up-us", micros(requestClass.timeoutMs()))
                    .put("worth", requestClass.worth())
                    .put("late-share", 0.0)
                    .put("stream", false);
            if (requestClass.semantics() == Semantics.KEYED) {
                node.put("key-scope", requestClass.scope().name().toLowerCase(Locale.ROOT))
                        .put("window-us", micros(requestClass.windowMs()));
            }
        }
        settings.putObject("clients").put("marks-retry", plan.clients().marksRetry());
        settings.putObject("deductions")
                .put("cross-zone", 0.03)
                .put("late-fail", 0.08)
                .put("probe", 0.01)
                .put("waste", 0.05);
        settings.put("discovery", "automatic")
                .put("granularity-us", 5_000)
                .put("group-size", plan.agents().count())
                .put("me", number)
                .put("locality", context.resolvedPlan.agentZones()[number])
                .put("worth-by", plan.worthByWork() ? "work" : "request")
                .put("weight-source", "rough");
        ArrayNode zones = settings.putArray("zones");
        plan.zones().forEach(zones::add);
        ArrayNode kinds = settings.putArray("kinds");
        nodos.machines().forEach(kind -> kinds.add(kind.name()));
        settings.putObject("load-info")
                .put("via", "answers")
                .putArray("fields")
                .add("depth")
                .add("concurrent");
        settings.putObject("objective-mix")
                .put("whole", 0.45)
                .put("worst-class", 0.3)
                .put("worst-tenant", 0.1)
                .put("worst-window", 0.15);
        settings.putObject("obligations")
                .put("answer-slack-us", micros(plan.rules().answerSlackMs()))
                .put("ask-within-us", 10_000_000)
                .put("cold-from", nodos.coldFrom().low())
                .put("cold-us", micros(1000 * nodos.coldSeconds().high()))
                .put("fall-multiple", plan.rules().fallMultiple())
                .put("overload-for-us", micros(1000 * plan.rules().fallSeconds()))
                .put("stop-sending-within-us", micros(plan.rules().drainGraceMs()));
        ArrayNode tenants = settings.putArray("realms");
        double totalShare =
                plan.tenants().stream().mapToDouble(Plan.Tenant::share).sum();
        for (Plan.Tenant tenant : plan.tenants()) {
            tenants.addObject()
                    .put("name", tenant.name())
                    .put("fraction", tenant.share() / totalShare)
                    .put("quota-per-s", plan.clients().rate() * tenant.share() / totalShare);
        }
    }

    private static long micros(double millis) {
        return Math.round(1000 * millis);
    }
}
