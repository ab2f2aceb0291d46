package gatefront.rehearsal.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Judges what operators did by hand, from what they were answered and from what nodos saw: an agent that has said yes
 * to a call sends nothing new to that nodo past the grace, in that process or any later one, until it has said yes to
 * the call back; or until it has told them that what it knew of such calls is lost. It asks no agent why. Times in
 * microseconds; an entry for each agent and nodo that was taken out, which goes with the call back.
 */
public final class ManualDrainChecker {
    private static final int KEPT = 100;
    /** Staff are to hear of a loss within so much of the first request that goes wrong by it. */
    static final long TELLS_WITHIN = 2_000_000;

    /** An agent, and a nodo that is out there. */
    private record Held(int agent, int nodo) {}

    /** An attempt that is wrong unless the agent tells why in time. */
    private record Suspect(Held held, long at, long since) {}

    private final long grace;
    private final Map<Held, Long> out = new HashMap<>();
    private final Set<Integer> lost = new HashSet<>();
    /** Those of {@link #out} that staff were told would end with the process. */
    private final Set<Held> passing = new HashSet<>();
    /** The first attempt of each pair in each process; they go with the process. */
    private final List<Suspect> suspects = new ArrayList<>();

    private final List<String> breaches = new ArrayList<>();
    private int count;

    /** Nothing done yet; attempts may come so long after a yes. */
    public ManualDrainChecker(long grace) {
        this.grace = grace;
    }

    /** An agent has said yes to a call; whether it said that a restart would still know it. */
    public void yes(long now, int agent, int nodo, boolean isOut, boolean kept) {
        Held held = new Held(agent, nodo);
        if (isOut) {
            out.putIfAbsent(held, now);
            if (kept) {
                passing.remove(held);
            } else {
                passing.add(held);
            }
        } else {
            out.remove(held);
            passing.remove(held);
        }
    }

    /** An agent's process has ended; the next one is to know what it knew. */
    public void ended(long now, int agent) {
        lost.remove(agent);
        settle(now, agent, false);
        suspects.removeIf(each -> each.held.agent == agent);
        passing.removeIf(each -> each.agent == agent && out.remove(each) != null);
    }

    /** An agent has told staff, since its start, that it does not know what was out by hand. */
    public void toldLost(long now, int agent) {
        settle(now, agent, false);
        suspects.removeIf(each -> each.held.agent == agent);
        lost.add(agent);
    }

    /** The first of an attempt has come to a nodo. */
    public void begun(long now, int agent, int nodo) {
        Held held = new Held(agent, nodo);
        Long since = out.get(held);
        if (since != null
                && now > since + grace
                && !lost.contains(agent)
                && suspects.stream().noneMatch(each -> each.held.equals(held))) {
            suspects.add(new Suspect(held, now, since));
        }
    }

    /** The day is over. */
    public void close(long now) {
        settle(now, -1, true);
        suspects.clear();
    }

    /** An agent that has had the time to tell staff and has not is to blame. */
    private void settle(long now, int agent, boolean all) {
        for (Suspect each : suspects) {
            if ((all || each.held.agent == agent) && now > each.at + TELLS_WITHIN) {
                count++;
                if (breaches.size() < KEPT) {
                    breaches.add(String.format(
                            Locale.ROOT,
                            "agent-%d sends to nodo-%d %.3f s after it said that this "
                                    + "is out by hand, and has told nobody that it lost that",
                            each.held.agent + 1,
                            each.held.nodo + 1,
                            (each.at - each.since) / 1e6));
                }
            }
        }
    }

    /** How many pairs of agents and nodos are out. */
    public int held() {
        return out.size();
    }

    /** How many times it was broken. */
    public int count() {
        return count;
    }

    /** The first of those. */
    public List<String> breaches() {
        return List.copyOf(breaches);
    }
}
