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
 * What all agents together do to the nodos, which no agent sees: who meets whom for the first time, how many come to
 * one nodo at once, what is refused while others stand idle, and what cold nodos get against what they bear.
 */
final class FleetLoad {
    /** Those who open a connection to one nodo within this time come at once, in microseconds. */
    private static final long AT_ONCE = 500_000;
    /** A refusal is made beside room when this part of what all ready nodos can do stands idle. */
    private static final double ROOM = 0.2;

    /** One agent's new connection to a nodo. */
    private record Dial(long at, int agent) {}

    /** Work that a nodo was sent while it was cold, and what it could have done meanwhile. */
    private record Cold(double sent, double bears) {}

    private final int agents;
    /** Pairs of agent and nodo that have met; agents times nodos at the most, those that replace others too. */
    private final Set<Long> met = new HashSet<>();
    /** By nodo, its newest connections; each leaves {@link #AT_ONCE} after it came. */
    private final Map<Integer, Deque<Dial>> dials = new HashMap<>();
    /** By nodo, as last looked at. */
    private final Map<Integer, Cold> cold = new TreeMap<>();

    private int mostAtOnce;
    private int connections;
    private int usedAgain;
    private int refusals;
    private int besideRoom;
    private double idle;

    FleetLoad(int agents) {
        this.agents = agents;
    }

    /** The first request has come on a connection that was opened at a time. */
    void dialled(long at, int agent, int nodo) {
        met.add((long) nodo * agents + agent);
        connections++;
        Deque<Dial> lately = dials.computeIfAbsent(nodo, key -> new ArrayDeque<>());
        lately.addLast(new Dial(at, agent));
        while (lately.peekFirst().at <= at - AT_ONCE) {
            lately.pollFirst();
        }
        mostAtOnce = Math.max(mostAtOnce, (int)
                lately.stream().mapToInt(Dial::agent).distinct().count());
    }

    /** A second request has come on a connection. */
    void usedAgain() {
        usedAgain++;
    }

    /** An agent has refused a call while this part of what all ready nodos can do stood idle. */
    void refused(double idlePart) {
        refusals++;
        besideRoom += idlePart >= ROOM ? 1 : 0;
        idle += idlePart;
    }

    /** So much work has a nodo been sent while it was cold, of so much that it could do. */
    void cold(int nodo, double sent, double bears) {
        if (bears > 0) {
            cold.put(nodo, new Cold(sent, bears));
        }
    }

    /** Pairs of agent and nodo that have met. */
    int firstMeetings() {
        return met.size();
    }

    /** The part of the connections that carried a second request. */
    double usedAgainPart() {
        return (double) usedAgain / Math.max(1, connections);
    }

    /** The part of the refusals that were made while a fifth of all ready nodos' capacity stood idle. */
    double besideRoomPart() {
        return (double) besideRoom / Math.max(1, refusals);
    }

    /** What cold nodos were sent of what they could do, over all of them; 0 where none was cold. */
    double coldPart() {
        double sent = cold.values().stream().mapToDouble(Cold::sent).sum();
        double bears = cold.values().stream().mapToDouble(Cold::bears).sum();
        return bears == 0 ? 0 : sent / bears;
    }

    /** Writes its figures; parts to four places. */
    void json(ObjectNode into) {
        into.put("first_meetings", met.size())
                .put("connections", connections)
                .put("connections_used_again", JsonReport.round(usedAgainPart()))
                .put("agents_at_one_nodo_at_once", mostAtOnce)
                .put("refusals", refusals)
                .put("refusals_beside_room", JsonReport.round(besideRoomPart()))
                .put("idle_at_refusals", JsonReport.round(idle / Math.max(1, refusals)))
                .put("cold_nodos", cold.size())
                .put("cold_sent_of_borne", JsonReport.round(coldPart()));
        double[] parts = cold.values().stream()
                .mapToDouble(each -> each.sent / each.bears)
                .sorted()
                .toArray();
        ArrayNode quartiles = into.putArray("cold_sent_of_borne_quartiles");
        for (int i = 0; i <= 4 && parts.length > 0; i++) {
            quartiles.add(JsonReport.round(parts[i * (parts.length - 1) / 4]));
        }
    }
}
