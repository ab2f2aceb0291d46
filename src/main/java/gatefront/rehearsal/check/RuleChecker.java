package gatefront.rehearsal.check;

import gatefront.policy.Balancer.Scope;
import gatefront.policy.Balancer.Semantics;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks the rules, with the limits of the plan, against what clients and nodos observed. Actions of an agent are
 * reported with the time at which the agent took them, not the time of arrival, so events come out of order. Where
 * that time is unknown, as on real sockets, {@link Limits#slackMicros()} is the tolerance.
 *
 * <p>All times are in microseconds. A request is removed {@link #RETENTION_MICROS} after its last event, which bounds
 * the number of requests held.
 */
public final class RuleChecker {
    /** Time for which a request is retained after its last event, in microseconds. */
    static final long RETENTION_MICROS = 30_000_000;
    /** Time after the close of a client's connection within which an attempt may still begin, in microseconds. */
    private static final long CLOSE_GRACE_MICROS = 100_000;
    /** Maximum number of breaches kept with their history; further breaches are only counted. */
    static final int MAX_KEPT_BREACHES = 100;

    /**
     * The limits that the rules are checked with, in microseconds.
     *
     * @param answerSlackMicros time after the client's deadline by which the final response must have arrived
     * @param drainGraceMicros time after an agent was told that a nodo drains or is gone, after which it must send
     *     nothing new to it
     * @param slackMicros tolerance for times that are not known exactly
     */
    public record Limits(long answerSlackMicros, long drainGraceMicros, long slackMicros) {}

    /** A class of requests and the retries that it permits. */
    public record RequestClass(String name, Semantics semantics, Scope scope, long windowMicros) {}

    /** The rules, by their names in the settings. */
    public enum Rule {
        /** Each accepted request gets one final response, in time. */
        ONE_ANSWER,
        /** No request takes effect twice. */
        NO_EFFECT_TWICE,
        /** No attempt begins for a client that has closed its connection. */
        NO_ATTEMPT_AFTER_CLOSE,
        /** Nothing new is sent to a draining nodo. */
        DRAINS_KEPT,
        /** No cold nodo is overloaded. */
        NO_COLD_FALL,
        /** Nothing is held once all requests have ended. */
        NOTHING_LEFT
    }

    /** A breach of a rule, with the history of the request. */
    public record Breach(long atMicros, Rule rule, String request, String description, List<String> history) {}

    /** How an attempt ended, as seen by the nodo. */
    public enum Ending {
        /** The nodo sent a response. */
        ANSWERED,
        /** The nodo sent a response that says that the request was not started. */
        TURNED_AWAY,
        /** The agent closed the connection. */
        ABANDONED,
        /** The nodo's process or machine failed. */
        LOST
    }

    /**
     * An event of a request. It is formatted only for a breach, since an ordinary run has tens of thousands of
     * events.
     */
    private record Event(long atMicros, String description) {
        String format() {
            return String.format(Locale.ROOT, "%.6f %s", atMicros / 1e6, description);
        }
    }

    private static final class Attempt {
        final int nodo;
        final int zone;
        final int cell;
        final long startedMicros;
        long receivedMicros = -1;
        long endedMicros = -1;
        boolean neverRan;

        Attempt(int nodo, int zone, int cell, long startedMicros) {
            this.nodo = nodo;
            this.zone = zone;
            this.cell = cell;
            this.startedMicros = startedMicros;
        }
    }

    private static final class RequestState {
        final String id;
        final RequestClass requestClass;
        final int agent;
        final long deadlineMicros;
        final List<Attempt> attempts = new ArrayList<>(1);
        final List<Event> history = new ArrayList<>(4);
        final Set<String> responseBodies = new HashSet<>(2);
        long answeredMicros = -1;
        /** When the client closed its connection without a response, or -1. */
        long clientLeftMicros = -1;

        boolean settled;
        int effects;
        long lastEventMicros;

        RequestState(String id, RequestClass requestClass, int agent, long deadlineMicros) {
            this.id = id;
            this.requestClass = requestClass;
            this.agent = agent;
            this.deadlineMicros = deadlineMicros;
        }
    }

    /** An agent and a nodo that the agent was told about. */
    private record AgentNodo(int agent, int nodo) {}

    /** What a checker of a real-time run needs to know of its environment. */
    public interface Environment {
        /** Returns the longest time for which the rehearsal itself stalled between two times, in microseconds. */
        long maxStallMicros(long from, long until);

        /**
         * Returns the longest time between two times for which the close of a client's connection may have been held
         * back on its way to the agent, in microseconds. A suspension of the agent itself does not count.
         */
        default long maxCloseDelayMicros(int agent, long from, long until) {
            return maxStallMicros(from, until);
        }

        /** Called for each event of a request. */
        void requestEvent(long at, String request, String description);

        /** The environment of a virtual-time run, which never stalls and records no events. */
        Environment NONE = new Environment() {
            @Override
            public long maxStallMicros(long from, long until) {
                return 0;
            }

            @Override
            public void requestEvent(long at, String request, String what) {}
        };
    }

    private final Limits limits;
    private Environment environment = Environment.NONE;
    private final List<RequestClass> classes;
    private final Map<String, RequestState> requests = new LinkedHashMap<>();
    /** Requests that may be removed, oldest last event first. A request may be in the queue several times. */
    private final Deque<RequestState> removalQueue = new ArrayDeque<>();

    private final Map<AgentNodo, Long> closedSince = new HashMap<>();
    private final Map<AgentNodo, Long> announcedStart = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();
    private int breachCount;

    /**
     * Creates a checker without requests.
     *
     * @param limits the limits of the rules
     * @param classes the classes of requests, by index
     */
    public RuleChecker(Limits limits, List<RequestClass> classes) {
        this.limits = limits;
        this.classes = List.copyOf(classes);
    }

    /** Sets the environment of a real-time run. Must be called before the first event. */
    public void useEnvironment(Environment newEnvironment) {
        environment = newEnvironment;
    }

    /** Whether an event came after its due time for another reason than a stall of the rehearsal. */
    private boolean isLate(long dueMicros, long actualMicros) {
        return actualMicros > dueMicros + limits.slackMicros
                && actualMicros > dueMicros + limits.slackMicros + environment.maxStallMicros(dueMicros, actualMicros);
    }

    /** Returns the first breaches, with the history of their requests. */
    public List<Breach> breaches() {
        return List.copyOf(breaches);
    }

    /** Returns the number of breaches. */
    public int count() {
        return breachCount;
    }

    /** Returns the number of requests held. */
    public int retainedRequests() {
        return requests.size();
    }

    private void breach(long at, Rule rule, RequestState request, String description) {
        breachCount++;
        if (breaches.size() < MAX_KEPT_BREACHES) {
            breaches.add(new Breach(
                    at,
                    rule,
                    request == null ? "" : request.id,
                    description,
                    request == null
                            ? List.of()
                            : request.history.stream().map(Event::format).toList()));
        }
    }

    private void addEvent(long at, RequestState request, String description) {
        environment.requestEvent(at, request.id, description);
        request.history.add(new Event(at, description));
        request.lastEventMicros = at;
    }

    // ---- Events at clients ----

    /**
     * Records that the last byte of a request was written to a connection that the agent's machine has accepted.
     *
     * @param now the time, in microseconds
     * @param id the request's id
     * @param classIndex index of its class
     * @param agent index of the agent that got it
     * @param deadlineMicros time at which the client abandons this try, in microseconds
     */
    public void requestSent(long now, String id, int classIndex, int agent, long deadlineMicros) {
        RequestState request = new RequestState(id, classes.get(classIndex), agent, deadlineMicros);
        if (requests.putIfAbsent(id, request) != null) {
            throw new IllegalArgumentException("duplicate request id: " + id);
        }
        addEvent(now, request, "taken by agent-" + (agent + 1) + ", " + request.requestClass.name);
        removeExpired(now);
    }

    /** Records that the last byte of a response has arrived; {@code body} is the body of a 200 response, else null. */
    public void responseReceived(long now, String id, int status, String body) {
        RequestState request = requests.get(id);
        if (request == null) {
            return;
        }
        addEvent(now, request, "answered " + status);
        if (request.answeredMicros >= 0) {
            breach(now, Rule.ONE_ANSWER, request, "a second final answer");
        }
        request.answeredMicros = now;
        request.settled = true;
        if (isLate(request.deadlineMicros + limits.answerSlackMicros, now)) {
            breach(
                    now,
                    Rule.ONE_ANSWER,
                    request,
                    String.format(
                            Locale.ROOT,
                            "the final answer came %.3f s after the " + "caller's time was up",
                            (now - request.deadlineMicros) / 1e6));
        }
        if (status == 200 && !request.responseBodies.contains(body)) {
            breach(now, Rule.ONE_ANSWER, request, "served with what no nodo made for it");
        }
        boolean refused = status == 429 || status == 503;
        boolean retryHarmless = request.requestClass.semantics == Semantics.SAFE
                || request.requestClass.semantics == Semantics.KEYED && request.requestClass.scope == Scope.ALL;
        if (refused && !retryHarmless && request.attempts.stream().anyMatch(attempt -> mayHaveRun(attempt, now))) {
            breach(now, Rule.NO_EFFECT_TWICE, request, "refused, though an attempt may have run");
        }
        scheduleRemoval(request);
    }

    private boolean mayHaveRun(Attempt attempt, long now) {
        return attempt.receivedMicros >= 0 && !attempt.neverRan;
    }

    /**
     * Records that a connection closed without a complete response while the client waited and the agent was alive.
     *
     * @return true if the request was never forwarded. It may then have crossed the close of an idle connection
     *     unread, and the client sends it once more.
     */
    public boolean connectionClosed(long now, String id) {
        RequestState request = requests.get(id);
        if (request == null || request.settled) {
            return false;
        }
        if (request.attempts.isEmpty()) {
            requests.remove(id);
            return true;
        }
        addEvent(now, request, "connection ended without an answer");
        request.settled = true;
        breach(now, Rule.ONE_ANSWER, request, "lost: its connection ended with no whole answer");
        scheduleRemoval(request);
        return false;
    }

    /** Records that no response is due any more, because the client has left or the agent was killed. */
    public void released(long now, String id, String reason) {
        RequestState request = requests.get(id);
        if (request != null && !request.settled) {
            addEvent(now, request, reason);
            request.settled = true;
            scheduleRemoval(request);
        }
    }

    /** Records that the client has closed its connection without waiting for the response any longer. */
    public void clientLeft(long now, String id) {
        RequestState request = requests.get(id);
        if (request != null && request.clientLeftMicros < 0) {
            request.clientLeftMicros = now;
            addEvent(now, request, "the caller closed its connection");
        }
    }

    /** Records that the client's deadline plus the slack has passed without a response. */
    public void timedOut(long now, String id) {
        RequestState request = requests.get(id);
        if (request != null && !request.settled) {
            addEvent(now, request, "no answer when the caller's time was up");
            request.settled = true;
            breach(now, Rule.ONE_ANSWER, request, "no final answer in its time");
            scheduleRemoval(request);
        }
    }

    /** Records that a response due to a client outside the plan's traffic did not come. */
    public void responseMissing(long now, String description) {
        breach(now, Rule.ONE_ANSWER, null, description);
    }

    // ---- Events at nodos ----

    /**
     * Records that the first bytes of an attempt have arrived at a nodo.
     *
     * @return the index of the attempt within its request, or -1 if the request is unknown
     */
    public int attemptStarted(long now, String id, int nodo, int zone, int cell, int agent) {
        RequestState request = requests.get(id);
        Long closedMicros = closedSince.get(new AgentNodo(agent, nodo));
        if (request != null) {
            addEvent(now, request, "attempt " + request.attempts.size() + " at nodo-" + (nodo + 1));
        }
        if (closedMicros != null && isLate(closedMicros + limits.drainGraceMicros, now)) {
            breach(
                    now,
                    Rule.DRAINS_KEPT,
                    request,
                    String.format(
                            Locale.ROOT,
                            "sent to nodo-%d %.3f s after agent-%d was " + "told that it drains or is gone",
                            nodo + 1,
                            (now - closedMicros) / 1e6,
                            agent + 1));
        }
        if (request == null) {
            breach(now, Rule.ONE_ANSWER, null, "a nodo got request " + id + ", which no caller sent");
            return -1;
        }
        if (request.answeredMicros >= 0 && isLate(request.answeredMicros, now)) {
            breach(now, Rule.ONE_ANSWER, request, "sent to a nodo after the final answer");
        }
        checkClientPresent(now, request);
        if (request.requestClass.semantics != Semantics.SAFE) {
            for (Attempt earlier : request.attempts) {
                if (mayHaveRun(earlier, now) && !permitted(request, earlier, zone, cell, now)) {
                    breach(
                            now,
                            Rule.NO_EFFECT_TWICE,
                            request,
                            "sent again outside of what its class permits, " + "though an attempt may have run");
                    break;
                }
            }
        }
        request.attempts.add(new Attempt(nodo, zone, cell, now));
        return request.attempts.size() - 1;
    }

    private void checkClientPresent(long now, RequestState request) {
        long latestStart = request.clientLeftMicros + CLOSE_GRACE_MICROS + limits.slackMicros;
        if (request.clientLeftMicros >= 0
                && now > latestStart
                && now > latestStart + environment.maxCloseDelayMicros(request.agent, request.clientLeftMicros, now)) {
            breach(
                    now,
                    Rule.NO_ATTEMPT_AFTER_CLOSE,
                    request,
                    String.format(
                            Locale.ROOT,
                            "sent to a nodo %.3f s after its caller closed the connection",
                            (now - request.clientLeftMicros) / 1e6));
        }
    }

    private boolean permitted(RequestState request, Attempt earlier, int zone, int cell, long now) {
        if (request.requestClass.semantics != Semantics.KEYED
                || now > earlier.startedMicros + request.requestClass.windowMicros + limits.slackMicros) {
            return false;
        }
        return switch (request.requestClass.scope) {
            case ALL -> true;
            case ZONE -> earlier.zone == zone;
            case CELL -> earlier.cell == cell;
        };
    }

    /** Records that the last byte of an attempt has arrived; from now on it may run. */
    public void attemptReceived(long now, String id, int attempt) {
        RequestState request = requests.get(id);
        if (request != null && attempt >= 0) {
            request.attempts.get(attempt).receivedMicros = now;
        }
    }

    /** Records that a nodo has created a response with this body. */
    public void responseCreated(String id, String body) {
        RequestState request = requests.get(id);
        if (request != null) {
            request.responseBodies.add(body);
        }
    }

    /** Records that a request has taken effect. */
    public void effectApplied(long now, String id, int nodo) {
        RequestState request = requests.get(id);
        if (request == null) {
            return;
        }
        request.effects++;
        addEvent(now, request, "effect at nodo-" + (nodo + 1));
        if (request.effects > 1
                && request.requestClass.semantics != Semantics.SAFE
                && !delayedInTransit(request, nodo, now)) {
            breach(now, Rule.NO_EFFECT_TWICE, request, "its effect has happened " + request.effects + " times");
        }
    }

    /**
     * Whether a keyed retry ran only because it was delayed in transit: it was sent to the right group with a quarter
     * of the window to spare. A nodo that is cut off reads it after reconnecting, which no agent can know.
     */
    private boolean delayedInTransit(RequestState request, int nodo, long now) {
        for (int i = request.attempts.size() - 1; i > 0; i--) {
            Attempt attempt = request.attempts.get(i);
            if (attempt.nodo == nodo && attempt.receivedMicros >= 0) {
                return request.attempts.subList(0, i).stream()
                        .allMatch(earlier -> !mayHaveRun(earlier, now)
                                || permitted(
                                        request,
                                        earlier,
                                        attempt.zone,
                                        attempt.cell,
                                        attempt.receivedMicros + request.requestClass.windowMicros / 4));
            }
        }
        return false;
    }

    /** Records the end of an attempt. */
    public void attemptEnded(long now, String id, int attempt, Ending ending) {
        RequestState request = requests.get(id);
        if (request == null || attempt < 0) {
            return;
        }
        Attempt endedAttempt = request.attempts.get(attempt);
        if (endedAttempt.endedMicros >= 0) {
            return;
        }
        endedAttempt.endedMicros = now;
        endedAttempt.neverRan |= ending == Ending.TURNED_AWAY;
        addEvent(
                now,
                request,
                "attempt " + attempt + " "
                        + ending.name().toLowerCase(Locale.ROOT).replace('_', ' '));
        for (Attempt other : request.attempts) {
            boolean bothReceived = other != endedAttempt
                    && other.receivedMicros >= 0
                    && endedAttempt.receivedMicros >= 0
                    && other.endedMicros >= 0;
            long overlapStart = Math.max(other.receivedMicros, endedAttempt.receivedMicros);
            long overlapEnd = Math.min(other.endedMicros, now);
            if (bothReceived && overlapEnd - overlapStart > limits.slackMicros) {
                breach(
                        now,
                        Rule.NO_EFFECT_TWICE,
                        request,
                        String.format(
                                Locale.ROOT, "two attempts at once for %.3f s", (overlapEnd - overlapStart) / 1e6));
            }
        }
        scheduleRemoval(request);
    }

    // ---- Events of the server list ----

    /** Records that the padrón has written to an agent that a nodo accepts nothing new. */
    public void closedAnnounced(long now, int agent, int nodo) {
        closedSince.putIfAbsent(new AgentNodo(agent, nodo), now);
    }

    /**
     * Records that the padrón has written to an agent that a nodo is ready. {@code startedAt} is the time of its last
     * start in microseconds, or 0 if it started long ago.
     */
    public void readyAnnounced(long now, int agent, int nodo, long startedAt) {
        closedSince.remove(new AgentNodo(agent, nodo));
        if (startedAt > 0) {
            announcedStart.put(new AgentNodo(agent, nodo), startedAt);
        }
    }

    /** Records that an agent's process has started or ended, so that it no longer knows what it was told. */
    public void agentReset(int agent) {
        closedSince.keySet().removeIf(pair -> pair.agent == agent);
        announcedStart.keySet().removeIf(pair -> pair.agent == agent);
    }

    /**
     * Records that a cold nodo has crashed under overload. The rule is broken if agents that had been told of its
     * start sent at least two thirds of the work.
     *
     * @param now the time, in microseconds
     * @param nodo index of the nodo
     * @param startedAt time of the nodo's start, in microseconds
     * @param workByAgent work that each agent has sent since then
     */
    public void coldNodoOverloaded(long now, int nodo, long startedAt, Map<Integer, Double> workByAgent) {
        double totalWork =
                workByAgent.values().stream().mapToDouble(Double::doubleValue).sum();
        double informedWork = workByAgent.entrySet().stream()
                .filter(entry -> announcedStart.getOrDefault(new AgentNodo(entry.getKey(), nodo), -1L) >= startedAt)
                .mapToDouble(Map.Entry::getValue)
                .sum();
        if (informedWork >= 2 * totalWork / 3) {
            breach(
                    now,
                    Rule.NO_COLD_FALL,
                    null,
                    String.format(
                            Locale.ROOT,
                            "nodo-%d was pushed over %.3f s after its start; "
                                    + "%.0f%% of the work came from agents told of it",
                            nodo + 1,
                            (now - startedAt) / 1e6,
                            100 * informedWork / Math.max(totalWork, 1e-9)));
        }
    }

    // ---- End of the run ----

    /** Records something that is still held although nothing is in progress. */
    public void reportLeftover(long now, String description) {
        breach(now, Rule.NOTHING_LEFT, null, description);
    }

    /** Ends the run: requests without a response and attempts without an end are breaches. */
    public void close(long now) {
        for (RequestState request : List.copyOf(requests.values())) {
            if (!request.settled) {
                addEvent(now, request, "still open at the end");
                breach(now, Rule.ONE_ANSWER, request, "no final answer at all");
            }
            for (Attempt attempt : request.attempts) {
                if (attempt.endedMicros < 0) {
                    breach(
                            now,
                            Rule.NOTHING_LEFT,
                            request,
                            "an attempt at nodo-" + (attempt.nodo + 1) + " is still open");
                }
            }
        }
    }

    private void scheduleRemoval(RequestState request) {
        removalQueue.add(request);
    }

    private void removeExpired(long now) {
        for (Iterator<RequestState> iterator = removalQueue.iterator(); iterator.hasNext(); ) {
            RequestState request = iterator.next();
            if (request.lastEventMicros + RETENTION_MICROS > now) {
                break;
            }
            iterator.remove();
            if (request.settled && request.attempts.stream().allMatch(attempt -> attempt.endedMicros >= 0)) {
                requests.remove(request.id, request);
            }
        }
    }
}
