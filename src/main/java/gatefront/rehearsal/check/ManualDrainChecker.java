package gatefront.rehearsal.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks manual drains against the replies that operators got and the attempts that nodos saw. An agent that has
 * confirmed a manual drain must send nothing new to that nodo after the grace period, in the same process or a later
 * one, until it has confirmed the end of the drain or has reported that its record of manual drains is lost.
 *
 * <p>All times are in microseconds. The checker holds one entry per pair of agent and drained nodo; the entry is
 * removed when the drain ends.
 */
public final class ManualDrainChecker {
    private static final int MAX_KEPT_BREACHES = 100;
    /**
     * An agent must report a loss within this time after the first attempt that goes wrong because of it, in
     * microseconds.
     */
    static final long LOSS_REPORT_MICROS = 2_000_000;

    /** An agent and a nodo that is drained there by hand. */
    private record DrainedPair(int agent, int nodo) {}

    /** An attempt that is a breach unless the agent reports a loss in time. */
    private record SuspectedBreach(DrainedPair pair, long attemptMicros, long drainedMicros) {}

    private final long graceMicros;
    private final Map<DrainedPair, Long> drainedSince = new HashMap<>();
    private final Set<Integer> agentsReportingLoss = new HashSet<>();
    /** The pairs of {@link #drainedSince} whose drain, as the operator was told, ends with the process. */
    private final Set<DrainedPair> notPersisted = new HashSet<>();
    /** The first suspected attempt of each pair in each process; removed when the process ends. */
    private final List<SuspectedBreach> suspectedBreaches = new ArrayList<>();

    private final List<String> breaches = new ArrayList<>();
    private int breachCount;

    /** Creates a checker without drains that accepts attempts up to {@code graceMicros} after a confirmation. */
    public ManualDrainChecker(long graceMicros) {
        this.graceMicros = graceMicros;
    }

    /** Records that an agent has confirmed a manual drain or its end, and whether the drain survives a restart. */
    public void confirmed(long now, int agent, int nodo, boolean drained, boolean persisted) {
        DrainedPair pair = new DrainedPair(agent, nodo);
        if (drained) {
            drainedSince.putIfAbsent(pair, now);
            if (persisted) {
                notPersisted.remove(pair);
            } else {
                notPersisted.add(pair);
            }
        } else {
            drainedSince.remove(pair);
            notPersisted.remove(pair);
        }
    }

    /** Records that an agent's process has ended. The next process is expected to know the persisted drains. */
    public void processEnded(long now, int agent) {
        agentsReportingLoss.remove(agent);
        recordOverdue(now, agent, false);
        suspectedBreaches.removeIf(entry -> entry.pair.agent == agent);
        notPersisted.removeIf(entry -> entry.agent == agent && drainedSince.remove(entry) != null);
    }

    /** Records that an agent has reported, since its start, that its record of manual drains is lost. */
    public void lossReported(long now, int agent) {
        recordOverdue(now, agent, false);
        suspectedBreaches.removeIf(suspected -> suspected.pair.agent == agent);
        agentsReportingLoss.add(agent);
    }

    /** Records that the first bytes of an attempt have arrived at a nodo. */
    public void attemptStarted(long now, int agent, int nodo) {
        DrainedPair pair = new DrainedPair(agent, nodo);
        Long drainedMicros = drainedSince.get(pair);
        if (drainedMicros != null
                && now > drainedMicros + graceMicros
                && !agentsReportingLoss.contains(agent)
                && suspectedBreaches.stream().noneMatch(suspected -> suspected.pair.equals(pair))) {
            suspectedBreaches.add(new SuspectedBreach(pair, now, drainedMicros));
        }
    }

    /** Ends the run: remaining suspected attempts become breaches if the agent had time to report a loss. */
    public void close(long now) {
        recordOverdue(now, -1, true);
        suspectedBreaches.clear();
    }

    /** Records a breach for each suspected attempt whose agent had time to report a loss and did not. */
    private void recordOverdue(long now, int agent, boolean allAgents) {
        for (SuspectedBreach suspected : suspectedBreaches) {
            if ((allAgents || suspected.pair.agent == agent) && now > suspected.attemptMicros + LOSS_REPORT_MICROS) {
                breachCount++;
                if (breaches.size() < MAX_KEPT_BREACHES) {
                    breaches.add(String.format(
                            Locale.ROOT,
                            "agent-%d sends to nodo-%d %.3f s after it said that this "
                                    + "is out by hand, and has told nobody that it lost that",
                            suspected.pair.agent + 1,
                            suspected.pair.nodo + 1,
                            (suspected.attemptMicros - suspected.drainedMicros) / 1e6));
                }
            }
        }
    }

    /** Returns the number of pairs of agent and nodo that are drained by hand. */
    public int drainedPairs() {
        return drainedSince.size();
    }

    /** Returns the number of breaches. */
    public int count() {
        return breachCount;
    }

    /** Returns the first breaches, at most {@link #MAX_KEPT_BREACHES}. */
    public List<String> breaches() {
        return List.copyOf(breaches);
    }
}
