package gatefront.rehearsal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The combined effect of all agents on the nodos, which no single agent sees: new pairs of agent and nodo, agents
 * that connect to one nodo at the same time, refusals while other nodos are idle, and the load of cold nodos relative
 * to their capacity.
 */
final class FleetLoad {
    /** Connections opened to one nodo within this time count as simultaneous, in microseconds. */
    private static final long AT_ONCE_MICROS = 500_000;
    /** Share of the capacity of all ready nodos that must be idle for a refusal to count as made with idle capacity. */
    private static final double IDLE_SHARE_THRESHOLD = 0.2;

    /** An agent's new connection to a nodo. */
    private record NewConnection(long openedMicros, int agent) {}

    /** Work that a nodo was sent while cold, and the work that it could have done meanwhile. */
    private record ColdNodo(double sentWork, double capacity) {}

    private final int agentCount;
    /** Pairs of agent and nodo that have met; at most agents times nodos, replacements included. */
    private final Set<Long> pairsMet = new HashSet<>();
    /** By nodo: its newest connections; each is removed {@link #AT_ONCE_MICROS} after it was opened. */
    private final Map<Integer, Deque<NewConnection>> newConnections = new HashMap<>();
    /** By nodo: the latest observation. */
    private final Map<Integer, ColdNodo> coldNodos = new TreeMap<>();

    private int maxAgentsAtOnce;
    private int connections;
    private int reusedConnections;
    private int refusals;
    private int refusalsWithIdleCapacity;
    private double idleShareSum;

    FleetLoad(int agentCount) {
        this.agentCount = agentCount;
    }

    /** Records the first request on a connection that was opened at {@code openedMicros}. */
    void connectionUsed(long openedMicros, int agent, int nodo) {
        pairsMet.add((long) nodo * agentCount + agent);
        connections++;
        Deque<NewConnection> recent = newConnections.computeIfAbsent(nodo, key -> new ArrayDeque<>());
        recent.addLast(new NewConnection(openedMicros, agent));
        while (recent.peekFirst().openedMicros <= openedMicros - AT_ONCE_MICROS) {
            recent.pollFirst();
        }
        maxAgentsAtOnce = Math.max(maxAgentsAtOnce, (int)
                recent.stream().mapToInt(NewConnection::agent).distinct().count());
    }

    /** Records the second request on a connection. */
    void connectionReused() {
        reusedConnections++;
    }

    /** Records that an agent refused a request while this share of the capacity of all ready nodos was idle. */
    void requestRefused(double idleShare) {
        refusals++;
        refusalsWithIdleCapacity += idleShare >= IDLE_SHARE_THRESHOLD ? 1 : 0;
        idleShareSum += idleShare;
    }

    /** Records the work that a nodo was sent while cold, and the work that it could have done. */
    void coldNodoObserved(int nodo, double sentWork, double capacity) {
        if (capacity > 0) {
            coldNodos.put(nodo, new ColdNodo(sentWork, capacity));
        }
    }

    /** Returns the number of pairs of agent and nodo that have met. */
    int firstMeetings() {
        return pairsMet.size();
    }

    /** Returns the share of connections that carried a second request. */
    double reusedConnectionShare() {
        return (double) reusedConnections / Math.max(1, connections);
    }

    /** Returns the share of refusals made while at least a fifth of the capacity of all ready nodos was idle. */
    double refusalsWithIdleCapacityShare() {
        return (double) refusalsWithIdleCapacity / Math.max(1, refusals);
    }

    /** Returns the work sent to cold nodos as a share of their capacity, over all of them; 0 if none was cold. */
    double coldCapacityUsed() {
        double sentWork =
                coldNodos.values().stream().mapToDouble(ColdNodo::sentWork).sum();
        double capacity =
                coldNodos.values().stream().mapToDouble(ColdNodo::capacity).sum();
        return capacity == 0 ? 0 : sentWork / capacity;
    }

    /** Writes the figures; shares are rounded to four digits. */
    void writeTo(ObjectNode node) {
        node.put("first_meetings", pairsMet.size())
                .put("connections", connections)
                .put("connections_used_again", JsonReport.round(reusedConnectionShare()))
                .put("agents_at_one_nodo_at_once", maxAgentsAtOnce)
                .put("refusals", refusals)
                .put("refusals_beside_room", JsonReport.round(refusalsWithIdleCapacityShare()))
                .put("idle_at_refusals", JsonReport.round(idleShareSum / Math.max(1, refusals)))
                .put("cold_nodos", coldNodos.size())
                .put("cold_sent_of_borne", JsonReport.round(coldCapacityUsed()));
        double[] shares = coldNodos.values().stream()
                .mapToDouble(coldNodo -> coldNodo.sentWork / coldNodo.capacity)
                .sorted()
                .toArray();
        ArrayNode quartiles = node.putArray("cold_sent_of_borne_quartiles");
        for (int i = 0; i <= 4 && shares.length > 0; i++) {
            quartiles.add(JsonReport.round(shares[i * (shares.length - 1) / 4]));
        }
    }
}
