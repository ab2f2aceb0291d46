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

/** One agent and its machine: how it is configured, started and ended. */
abstract class AgentStandIn {
    static final int PORT = 3000;
    static final int THRIFT_PORT = 3001;

    final RunContext day;
    final int number;
    private long killedAt = -1;
    private int processes;

    AgentStandIn(RunContext day, int number) {
        this.day = day;
        this.number = number;
    }

    abstract Machine machine();

    /** Where its callers reach it. */
    InetSocketAddress address() {
        return machine().at(PORT);
    }

    /** Where its callers dial. */
    InetSocketAddress callers() {
        return address();
    }

    /** The same over Thrift. */
    InetSocketAddress thriftAddress() {
        return machine().at(THRIFT_PORT);
    }

    /** What it does besides. */
    final Extensions besides() {
        return new Extensions(thrift(), day.padron.registry(number), null, null);
    }

    /** How it speaks Thrift, or null if it does not. */
    ThriftSettings thrift() {
        if (day.form == null) {
            return null;
        }
        Map<String, ThriftSettings.Method> methods = new LinkedHashMap<>();
        for (int i = 0; i < day.plan.classes().size(); i++) {
            methods.put(day.plan.classes().get(i).name(), new ThriftSettings.Method(i, true));
        }
        return new ThriftSettings(thriftAddress(), null, NodoStandIn.THRIFT_PORT, day.form.framed(), true, methods);
    }

    String name() {
        return "agent-" + (number + 1);
    }

    /** Starts its process. */
    final void start() {
        processes++;
        begin();
    }

    abstract void begin();

    /** How many processes it has had: tells whether one is still the same. */
    int processes() {
        return processes;
    }

    /** Whether it says that it is ready. */
    abstract boolean ready();

    /** Ends it outright. */
    void kill() {
        killedAt = day.now();
        end();
        day.padron.forgot(number);
    }

    abstract void end();

    /** What it holds, or null where that cannot be seen. */
    ResourceBudget budget() {
        return null;
    }

    /** Asks it to end in order, as SIGTERM does; {@code then} runs when it has. */
    abstract void leave(Runnable then);

    /** Gives it a new configuration, as SIGHUP does. */
    abstract void reload();

    /** Whether it has not been killed since a time, so that what it took then is owed. */
    boolean tookSince(long at) {
        return killedAt < at;
    }

    /** Its configuration as of now, in the form of the platform's file. */
    ObjectNode config() {
        Plan plan = day.plan;
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        InetSocketAddress at = address();
        root.put("name", name())
                .put("listen", at.getAddress().getHostAddress() + ":" + at.getPort())
                .put("discovery", day.padron.address(number))
                .put(
                        "seed",
                        Long.toHexString(
                                day.draw("agent " + number + " at " + day.now()).number()));
        root.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", plan.agents().memoryMb())
                .put("sockets", plan.agents().maxSockets());
        root.set("known", day.padron.whole(number));
        settings(root.putObject("settings"));
        return root;
    }

    private void settings(ObjectNode s) {
        Plan plan = day.plan;
        Plan.Nodos nodos = plan.nodos();
        s.putObject("caps")
                .put("cancel", true)
                .put("dial-timeout-us", 200_000)
                .put("idle-close-us", micros(1000 * nodos.idleTimeoutSeconds()))
                .put("max-attempts", plan.rules().maxAttempts())
                .put("may-duplicate", false)
                .put("peers", false)
                .put("probes", true)
                .put("retry-after", plan.clients().retryAfterMs() > 0)
                .put("max-retry-after-us", micros(plan.clients().retryAfterMs()));
        ArrayNode classes = s.putArray("classes");
        for (Plan.RequestClass each : plan.classes()) {
            ObjectNode node = classes.addObject()
                    .put("name", each.name())
                    .put("semantics", each.semantics().name().toLowerCase(Locale.ROOT))
                    .put("aim-us", micros(each.targetMs()))
                    .put("give-up-us", micros(each.timeoutMs()))
                    .put("worth", each.worth())
                    .put("late-share", 0.0)
                    .put("stream", false);
            if (each.semantics() == Semantics.KEYED) {
                node.put("key-scope", each.scope().name().toLowerCase(Locale.ROOT))
                        .put("window-us", micros(each.windowMs()));
            }
        }
        s.putObject("clients").put("marks-retry", plan.clients().marksRetry());
        s.putObject("deductions")
                .put("cross-zone", 0.03)
                .put("late-fail", 0.08)
                .put("probe", 0.01)
                .put("waste", 0.05);
        s.put("discovery", "automatic")
                .put("granularity-us", 5_000)
                .put("group-size", plan.agents().count())
                .put("me", number)
                .put("locality", day.cast.agentZones()[number])
                .put("worth-by", plan.worthByWork() ? "work" : "request")
                .put("weight-source", "rough");
        ArrayNode zones = s.putArray("zones");
        plan.zones().forEach(zones::add);
        ArrayNode kinds = s.putArray("kinds");
        nodos.machines().forEach(each -> kinds.add(each.name()));
        s.putObject("load-info")
                .put("via", "answers")
                .putArray("fields")
                .add("depth")
                .add("concurrent");
        s.putObject("objective-mix")
                .put("whole", 0.45)
                .put("worst-class", 0.3)
                .put("worst-tenant", 0.1)
                .put("worst-window", 0.15);
        s.putObject("obligations")
                .put("answer-slack-us", micros(plan.rules().answerSlackMs()))
                .put("ask-within-us", 10_000_000)
                .put("cold-from", nodos.coldFrom().low())
                .put("cold-us", micros(1000 * nodos.coldSeconds().high()))
                .put("fall-multiple", plan.rules().fallMultiple())
                .put("overload-for-us", micros(1000 * plan.rules().fallSeconds()))
                .put("stop-sending-within-us", micros(plan.rules().drainGraceMs()));
        ArrayNode tenants = s.putArray("realms");
        double all = plan.tenants().stream().mapToDouble(Plan.Tenant::share).sum();
        for (Plan.Tenant each : plan.tenants()) {
            tenants.addObject()
                    .put("name", each.name())
                    .put("fraction", each.share() / all)
                    .put("quota-per-s", plan.clients().rate() * each.share() / all);
        }
    }

    private static long micros(double millis) {
        return Math.round(1000 * millis);
    }
}
