package gatefront.rehearsal.world;

import java.util.List;

/** What the callers want, drawn ahead of the answers: arrivals do not wait for them. */
public final class Demand {
    /**
     * A class of requests.
     *
     * @param name as in the settings
     * @param share of all requests
     * @param meanWork microseconds on a core of speed 1
     * @param variation of the work, as a coefficient
     */
    public record Kind(String name, double share, double meanWork, double variation) {}

    /** A part of the day at another rate. */
    public record Jump(long from, long until, double factor) {}

    /**
     * What a caller wants, once, whatever it takes.
     *
     * @param number counted from 0
     * @param at when
     * @param kind index of its class
     * @param tenant index of its municipio
     * @param agent index of the agent beside it
     * @param work what it takes, in microseconds on a core of speed 1
     * @param hint what the caller thinks that it takes
     */
    public record Want(long number, long at, int kind, int tenant, int agent, double work, long hint) {}

    private final RandomStream draw;
    private final List<Kind> kinds;
    private final double[] kindShares;
    private final double[] tenantShares;
    private final double[] agentShares;
    private final double ratePerSecond;
    private final double hintError;
    private final List<Jump> jumps;
    private double at;
    private long number;

    /**
     * Demand at a mean rate.
     *
     * @param draw its random numbers
     * @param ratePerSecond of all callers
     * @param kinds the classes
     * @param tenantShares of the municipios; empty if there are none
     * @param agentShares of the agents
     * @param hintError coefficient of variation of the hints about the true work; 0 for true ones
     * @param jumps when the rate is another
     */
    public Demand(
            RandomStream draw,
            double ratePerSecond,
            List<Kind> kinds,
            double[] tenantShares,
            double[] agentShares,
            double hintError,
            List<Jump> jumps) {
        this.draw = draw;
        this.ratePerSecond = ratePerSecond;
        this.kinds = List.copyOf(kinds);
        this.kindShares = kinds.stream().mapToDouble(Kind::share).toArray();
        this.tenantShares = tenantShares.clone();
        this.agentShares = agentShares.clone();
        this.hintError = hintError;
        this.jumps = List.copyOf(jumps);
    }

    /** The next one, later than all before. */
    public Want next() {
        at += draw.exponential(1e6 / (ratePerSecond * factor((long) at)));
        int kind = draw.weighted(kindShares);
        int tenant = tenantShares.length == 0 ? 0 : draw.weighted(tenantShares);
        int agent = draw.weighted(agentShares);
        double work = draw.logNormal(kinds.get(kind).meanWork, kinds.get(kind).variation);
        long hint = (long) (hintError == 0 ? work : work * draw.logNormal(1, hintError));
        return new Want(number++, (long) at, kind, tenant, agent, work, Math.max(1, hint));
    }

    private double factor(long now) {
        double factor = 1;
        for (Jump each : jumps) {
            factor *= now >= each.from && now < each.until ? each.factor : 1;
        }
        return factor;
    }
}
