package gatefront.rehearsal.world;

import java.util.List;

/** Generates the operations that clients want done. Arrivals are independent of responses (open-loop load). */
public final class Demand {
    /**
     * A class of requests.
     *
     * @param name the name in the settings
     * @param share the share of all operations
     * @param meanWorkMicros mean work, in microseconds on a core of speed 1
     * @param variation the coefficient of variation of the work
     */
    public record RequestClass(String name, double share, double meanWorkMicros, double variation) {}

    /** A period during which the arrival rate is multiplied by a factor. */
    public record RateChange(long fromMicros, long untilMicros, double factor) {}

    /**
     * An operation that a client wants done, independent of the number of tries.
     *
     * @param number the sequence number, from 0
     * @param arrivalMicros the time of its arrival, in microseconds
     * @param requestClass index of its class
     * @param tenant index of its municipio
     * @param agent index of the agent that the client sends to
     * @param workMicros its work, in microseconds on a core of speed 1
     * @param hintMicros the client's estimate of the work, in microseconds
     */
    public record Operation(
            long number,
            long arrivalMicros,
            int requestClass,
            int tenant,
            int agent,
            double workMicros,
            long hintMicros) {}

    private final RandomStream random;
    private final List<RequestClass> classes;
    private final double[] classShares;
    private final double[] tenantShares;
    private final double[] agentShares;
    private final double ratePerSecond;
    private final double hintError;
    private final List<RateChange> rateChanges;
    private double lastArrivalMicros;
    private long nextNumber;

    /**
     * Creates demand with a mean rate.
     *
     * @param random the source of random numbers
     * @param ratePerSecond the arrival rate of all clients together, per second
     * @param classes the classes of requests
     * @param tenantShares the relative shares of the municipios; empty if there are none
     * @param agentShares the relative shares of the agents
     * @param hintError the coefficient of variation of the estimates around the true work; 0 for exact estimates
     * @param rateChanges the periods with another rate
     */
    public Demand(
            RandomStream random,
            double ratePerSecond,
            List<RequestClass> classes,
            double[] tenantShares,
            double[] agentShares,
            double hintError,
            List<RateChange> rateChanges) {
        this.random = random;
        this.ratePerSecond = ratePerSecond;
        this.classes = List.copyOf(classes);
        this.classShares = classes.stream().mapToDouble(RequestClass::share).toArray();
        this.tenantShares = tenantShares.clone();
        this.agentShares = agentShares.clone();
        this.hintError = hintError;
        this.rateChanges = List.copyOf(rateChanges);
    }

    /** Returns the next operation, which arrives after all earlier ones. */
    public Operation next() {
        lastArrivalMicros += random.exponential(1e6 / (ratePerSecond * rateFactor((long) lastArrivalMicros)));
        int classIndex = random.weightedIndex(classShares);
        int tenant = tenantShares.length == 0 ? 0 : random.weightedIndex(tenantShares);
        int agent = random.weightedIndex(agentShares);
        double work = random.logNormal(classes.get(classIndex).meanWorkMicros, classes.get(classIndex).variation);
        long hint = (long) (hintError == 0 ? work : work * random.logNormal(1, hintError));
        return new Operation(
                nextNumber++, (long) lastArrivalMicros, classIndex, tenant, agent, work, Math.max(1, hint));
    }

    private double rateFactor(long now) {
        double factor = 1;
        for (RateChange change : rateChanges) {
            factor *= now >= change.fromMicros && now < change.untilMicros ? change.factor : 1;
        }
        return factor;
    }
}
