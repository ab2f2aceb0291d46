package gatefront.rehearsal.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * One nodo de cuentas, as a process on a machine. It shares its cores among the requests in its slots (processor
 * sharing), queues further requests, and refuses the rest. Its capacity is cores times speed, reduced while it is
 * cold, slow, limited for its bloque, sharing the machine with another program, or holding too many requests.
 *
 * <p>Work is in microseconds on one core of speed 1. All jobs in the slots get the same rate, so the service that
 * each has attained since the start orders their completions: a job completes when that figure has grown by its work.
 * Capacity that changes continuously, as during warm-up, is held constant for {@link #STEP_MICROS}.
 */
public final class NodoModel {
    /** Interval at which the capacity of a cold process is recomputed, in microseconds. */
    static final long STEP_MICROS = 20_000;

    private static final double EPSILON = 1e-6;

    /**
     * The properties of a machine.
     *
     * @param cores number of cores
     * @param speed speed of a core, relative to 1
     * @param slots maximum number of requests being processed
     * @param queueCapacity maximum number of requests queued
     * @param thrash efficiency lost for each request held per core beyond {@code thrashAt}
     * @param thrashAt requests held per core from which more requests cost efficiency
     * @param warmup the actual warm-up of the process
     * @param statedWarmup the slowest warm-up according to the figures known to everybody
     * @param fallMultiple a cold process crashes if it is sent more than this multiple of its capacity
     * @param fallMicros duration over which that is measured, in microseconds
     */
    public record Machine(
            int cores,
            double speed,
            int slots,
            int queueCapacity,
            double thrash,
            double thrashAt,
            Warmup warmup,
            Warmup statedWarmup,
            double fallMultiple,
            long fallMicros) {}

    /**
     * The share of its capacity that a process has when it starts, and the time until it has all of it, in
     * microseconds.
     */
    public record Warmup(double initialShare, long durationMicros) {
        /** Returns the share of the capacity at an age in microseconds. */
        double shareAt(long age) {
            return age >= durationMicros ? 1 : initialShare + (1 - initialShare) * ((double) age / durationMicros);
        }
    }

    /** The completion of a job. */
    public record Completion(long job, boolean served) {}

    private record Job(long id, double work, double endsAt, long sequence) {}

    private final Machine machine;
    private final RandomStream random;
    private final PriorityQueue<Job> running =
            new PriorityQueue<>(Comparator.comparingDouble(Job::endsAt).thenComparingLong(Job::sequence));
    private final Deque<Job> waiting = new ArrayDeque<>();
    /** Work that each agent has sent while this process was cold, in microseconds on a core of speed 1. */
    private final Map<Integer, Double> coldWorkByAgent = new LinkedHashMap<>();
    /** Work that this process could have done while it was cold, in the same unit. */
    private double coldCapacity;

    private final long startedMicros;
    private final boolean startsCold;
    /** Service that a job in the slots has had since the start, in microseconds on a core of speed 1. */
    private double attainedService;
    /** Time up to which the model has been advanced. */
    private long advancedMicros;

    private long nextSequence;
    private double slowdown = 1;
    private double stolenShare;
    private double limitShare = 1;
    private double failureShare;
    /** Leaky bucket of the work sent while cold, which drains at a multiple of the actual capacity. */
    private double pressure;
    /** The same, draining at a multiple of the stated capacity. */
    private double statedPressure;

    private boolean crashed;
    private boolean statedLimitExceeded;

    /**
     * Creates a process that has just started.
     *
     * @param machine the machine that it runs on
     * @param random the source of random numbers
     * @param now the time, in microseconds
     * @param startsCold whether it has to warm up
     */
    public NodoModel(Machine machine, RandomStream random, long now, boolean startsCold) {
        this.machine = machine;
        this.random = random;
        this.startedMicros = now;
        this.startsCold = startsCold;
        this.advancedMicros = now;
    }

    /** Sets the factor by which work takes longer from now on. */
    public void setSlowdown(long now, double factor) {
        advance(now);
        slowdown = factor;
    }

    /** Sets the share of the machine that another program uses from now on. */
    public void setStolenShare(long now, double share) {
        advance(now);
        stolenShare = share;
    }

    /** Sets the share of the capacity that the bloque's limit allows from now on. */
    public void setLimit(long now, double share) {
        advance(now);
        limitShare = share;
    }

    /** Sets the share of the requests that fail immediately from now on. */
    public void setFailureShare(double share) {
        failureShare = share;
    }

    /** Whether the process is still warming up. */
    public boolean isCold(long now) {
        return startsCold && now < startedMicros + machine.warmup.durationMicros;
    }

    /** Returns the current capacity, in work per microsecond. */
    public double capacity(long now) {
        return capacityWith(now, machine.warmup) * (1 - stolenShare) / slowdown;
    }

    /** Returns the capacity with the stated warm-up and no fault, which is what agents can know. */
    private double statedCapacity(long now) {
        return capacityWith(now, machine.statedWarmup);
    }

    /** Returns the capacity with a given warm-up and the requests held now, without faults. */
    private double capacityWith(long now, Warmup warmup) {
        double warmupShare = isCold(now) ? warmup.shareAt(now - startedMicros) : 1;
        double excessPerCore = Math.max(0, (double) heldRequests() / machine.cores - machine.thrashAt);
        return machine.cores * machine.speed * warmupShare * limitShare / (1 + machine.thrash * excessPerCore);
    }

    /** Returns the number of requests held, in progress or queued. */
    public int heldRequests() {
        return running.size() + waiting.size();
    }

    /** Returns the number of requests queued. */
    public int queuedRequests() {
        return waiting.size();
    }

    /** Whether the process has crashed under overload while cold. It does no more work then. */
    public boolean crashed() {
        return crashed;
    }

    /**
     * Whether the process was sent more than {@code fallMultiple} times its stated capacity, so that agents could
     * have known. A process that is also slow may crash with less, which no agent can know.
     */
    public boolean statedLimitExceeded() {
        return statedLimitExceeded;
    }

    /** Returns the recent load as a share of the load that makes a process with the stated warm-up crash; 0 if warm. */
    public double overloadShare() {
        return isCold(advancedMicros)
                ? statedPressure / (machine.fallMultiple * statedCapacity(advancedMicros) * machine.fallMicros)
                : 0;
    }

    /** Returns the work that each agent has sent while this process was cold. */
    public Map<Integer, Double> coldWorkByAgent() {
        return coldWorkByAgent;
    }

    /** Returns the work that all agents have sent while this process was cold. */
    public double coldWork() {
        return coldWorkByAgent.values().stream().mapToDouble(work -> work).sum();
    }

    /** Returns the work that this process could have done so far while it was cold. */
    public double coldCapacity() {
        return coldCapacity;
    }

    /** What happens to a request on arrival. */
    public enum Arrival {
        /** It is in progress or queued. */
        ACCEPTED,
        /** It is refused because the queue is full. */
        REFUSED,
        /** It fails immediately. */
        FAILED
    }

    /**
     * Accepts a request whose last byte has arrived. {@link #advance} must have been called for the same time.
     *
     * @param now the time, in microseconds
     * @param jobId a unique number
     * @param work the work, in microseconds on a core of speed 1
     * @param agent index of the agent that sent it
     * @return what happens to the request
     */
    public Arrival arrive(long now, long jobId, double work, int agent) {
        addPressure(now, work, agent);
        if (failureShare > 0 && random.nextDouble() < failureShare) {
            return Arrival.FAILED;
        }
        if (running.size() >= machine.slots && waiting.size() >= machine.queueCapacity) {
            return Arrival.REFUSED;
        }
        Job newJob = new Job(jobId, work, 0, 0);
        if (running.size() < machine.slots) {
            startJob(newJob);
        } else {
            waiting.addLast(newJob);
        }
        return Arrival.ACCEPTED;
    }

    /** Adds work other than requests, such as a handshake or a probe, which takes capacity from all jobs. */
    public void addOverhead(long now, double work) {
        advance(now);
        running.add(new Job(-1, work, attainedService + work, nextSequence++));
    }

    private void startJob(Job job) {
        running.add(new Job(job.id, job.work, attainedService + job.work, nextSequence++));
    }

    /**
     * Counts work sent to a cold process, including requests that it refuses. The limit for each window of {@code
     * fallMicros} is kept as a leaky bucket that drains at {@code fallMultiple} times the capacity.
     */
    private void addPressure(long now, double work, int agent) {
        if (!isCold(now)) {
            return;
        }
        coldWorkByAgent.merge(agent, work, Double::sum);
        pressure += work;
        statedPressure += work;
        statedLimitExceeded |= statedPressure > machine.fallMultiple * statedCapacity(now) * machine.fallMicros;
        if (pressure > machine.fallMultiple * capacity(now) * machine.fallMicros) {
            crashed = true;
        }
    }

    /**
     * Advances the model to a time.
     *
     * @param now the time, in microseconds
     * @return the jobs completed since the last call, in order
     */
    public List<Completion> advance(long now) {
        List<Completion> completions = new ArrayList<>();
        while (advancedMicros < now) {
            long stepEnd = isCold(advancedMicros) ? Math.min(now, advancedMicros + STEP_MICROS) : now;
            double rate = ratePerJob();
            double serviceGain = rate * (stepEnd - advancedMicros);
            coldCapacity += isCold(advancedMicros) ? capacity(advancedMicros) * (stepEnd - advancedMicros) : 0;
            pressure = Math.max(
                    0, pressure - machine.fallMultiple * capacity(advancedMicros) * (stepEnd - advancedMicros));
            statedPressure = Math.max(
                    0,
                    statedPressure
                            - machine.fallMultiple * statedCapacity(advancedMicros) * (stepEnd - advancedMicros));
            Job first = running.peek();
            if (first != null && attainedService + serviceGain >= first.endsAt - EPSILON) {
                long elapsedMicros =
                        (long) StrictMath.ceil(Math.max(0, first.endsAt - attainedService) / rate - EPSILON);
                advancedMicros = Math.min(stepEnd, advancedMicros + elapsedMicros);
                attainedService = Math.max(attainedService, first.endsAt);
                completeJobs(completions);
            } else {
                attainedService += serviceGain;
                advancedMicros = stepEnd;
            }
        }
        completeJobs(completions);
        return completions;
    }

    private void completeJobs(List<Completion> completions) {
        while (!running.isEmpty() && running.peek().endsAt <= attainedService + EPSILON) {
            Job job = running.poll();
            if (job.id >= 0) {
                completions.add(new Completion(job.id, true));
            }
            if (!waiting.isEmpty() && running.size() < machine.slots) {
                startJob(waiting.pollFirst());
            }
        }
    }

    /** Returns the work per microsecond that each job in the slots gets. */
    private double ratePerJob() {
        double totalRate = capacity(advancedMicros);
        return totalRate / Math.max(machine.cores, running.size());
    }

    /**
     * Returns when to call {@link #advance} next.
     *
     * @return the time in microseconds, or {@link Long#MAX_VALUE} if there is nothing to do
     */
    public long nextEventMicros() {
        Job first = running.peek();
        if (first == null) {
            return Long.MAX_VALUE;
        }
        long endMicros =
                advancedMicros + (long) StrictMath.ceil(Math.max(0, first.endsAt - attainedService) / ratePerJob());
        return isCold(advancedMicros) ? Math.min(endMicros, advancedMicros + STEP_MICROS) : endMicros;
    }
}
