package gatefront.rehearsal.plan;

import gatefront.policy.Balancer;
import gatefront.toml.NumberRange;
import java.util.List;

/**
 * The plan of a rehearsal: the simulated world, its traffic and its faults. Times are seconds or milliseconds, as the
 * names say.
 *
 * @param name the name in the report
 * @param seconds how long clients send requests
 * @param zones names of the salas
 * @param worthByWork whether the worth of a request is multiplied by its work
 * @param network latencies, bandwidth and protocol
 * @param agents the agents
 * @param nodos the servers
 * @param rules limits of the rules that are checked
 * @param padron the source of the server list
 * @param clients the clients
 * @param classes the classes of requests
 * @param tenants the municipios
 * @param faults the faults
 */
public record Plan(
        String name,
        double seconds,
        List<String> zones,
        boolean worthByWork,
        Network network,
        Agents agents,
        Nodos nodos,
        Rules rules,
        Discovery padron,
        Clients clients,
        List<RequestClass> classes,
        List<Tenant> tenants,
        List<Fault> faults) {
    /**
     * The network.
     *
     * @param clientMs one-way latency between clients and agents
     * @param sameZoneMs one-way latency within a sala
     * @param crossZoneMs one-way latency between salas
     * @param jitter relative jitter of the latencies
     * @param megabitsPerSecond bandwidth of each link
     * @param protocol the protocol between clients, agents and servers
     */
    public record Network(
            double clientMs,
            double sameZoneMs,
            NumberRange crossZoneMs,
            double jitter,
            double megabitsPerSecond,
            String protocol) {}

    /**
     * The agents.
     *
     * @param count number of agents
     * @param maxSockets limit on the sockets of each agent
     * @param memoryMb memory of each agent
     * @param skew exponent of the distribution of requests over the agents: the i-th gets a share of 1 / i^skew
     */
    public record Agents(int count, int maxSockets, int memoryMb, double skew) {}

    /**
     * The servers. Each draws its own cold start from the ranges; agents are configured with the worst case of both,
     * the lowest initial capacity and the longest time.
     *
     * @param count number of servers
     * @param bloque number of servers in a bloque
     * @param limited share of the bloques whose capacity is limited
     * @param limit capacity of the servers of a limited bloque, as a share
     * @param coldFrom capacity of a server that has just started, as a share
     * @param coldSeconds time from a start until the full capacity
     * @param reportMs interval between load reports
     * @param noise relative error of the load reports
     * @param probeMs work of answering a probe
     * @param connectionMs work of accepting a connection
     * @param maxConnections limit on the connections of a server
     * @param idleTimeoutSeconds time after which a server closes an idle connection
     * @param machines the kinds of machines
     */
    public record Nodos(
            int count,
            NumberRange bloque,
            NumberRange limited,
            NumberRange limit,
            NumberRange coldFrom,
            NumberRange coldSeconds,
            NumberRange reportMs,
            double noise,
            NumberRange probeMs,
            NumberRange connectionMs,
            int maxConnections,
            double idleTimeoutSeconds,
            List<Machine> machines) {}

    /**
     * A kind of machine that servers run on.
     *
     * @param name its name
     * @param share its share of the servers
     * @param cores number of cores
     * @param speed speed of a core, relative to 1
     * @param slots maximum number of requests in work
     * @param queueCapacity maximum number of requests that wait for a slot
     * @param thrash efficiency lost for each request held per core beyond {@code thrashAt}
     * @param thrashAt requests held per core beyond which efficiency falls
     */
    public record Machine(
            String name,
            double share,
            int cores,
            NumberRange speed,
            int slots,
            int queueCapacity,
            double thrash,
            double thrashAt) {}

    /**
     * Limits of the rules that the rehearsal checks.
     *
     * @param answerSlackMs time after the deadline within which a final response is still accepted
     * @param drainGraceMs time after the notice of a drain within which new attempts are still accepted
     * @param fallMultiple a cold server fails when it is sent more than this multiple of its capacity
     * @param fallSeconds the time for which that load has to last
     * @param maxAttempts maximum number of attempts per request
     */
    public record Rules(
            double answerSlackMs, double drainGraceMs, double fallMultiple, double fallSeconds, int maxAttempts) {}

    /**
     * The source of the server list.
     *
     * @param noticeDelaySeconds delay between a change and its announcement
     * @param maxCallsPerSecond calls per second that it can serve; 0 for no limit
     * @param source which kind of source it is: the padrón or a registry
     */
    public record Discovery(NumberRange noticeDelaySeconds, double maxCallsPerSecond, String source) {}

    /**
     * The clients.
     *
     * @param rate requests per second
     * @param retries maximum number of retries of a client
     * @param backoffMs mean wait before the first retry; doubles with each further one
     * @param retryAfterCompliance share of the clients that honour the Retry-After header
     * @param tryTimeoutShare timeout of one try, as a share of the timeout of the class
     * @param hintError coefficient of variation of the work hints; 0 for exact hints
     * @param marksRetry whether clients mark retries as such
     * @param retryAfterMs maximum wait that clients accept from a Retry-After header
     */
    public record Clients(
            double rate,
            int retries,
            double backoffMs,
            double retryAfterCompliance,
            NumberRange tryTimeoutShare,
            double hintError,
            boolean marksRetry,
            double retryAfterMs) {}

    /**
     * A class of requests.
     *
     * @param name its name
     * @param semantics whether a request may be repeated
     * @param scope for keyed requests, which servers share the record of keys
     * @param windowMs for keyed requests, how long servers drop repeats of a key
     * @param share its share of the requests
     * @param workMs range of the mean work, on a core of speed 1
     * @param variation coefficient of variation of the work
     * @param targetMs time within which a response counts as in time
     * @param timeoutMs time after which clients stop waiting
     * @param worth worth of a request that is served in time
     */
    public record RequestClass(
            String name,
            Balancer.Semantics semantics,
            Balancer.Scope scope,
            double windowMs,
            double share,
            NumberRange workMs,
            double variation,
            double targetMs,
            double timeoutMs,
            double worth) {}

    /** A municipio and its share of the requests. */
    public record Tenant(String name, double share) {}

    /** Returns this plan with other faults. */
    public Plan withFaults(List<Fault> newFaults) {
        return new Plan(
                name,
                seconds,
                zones,
                worthByWork,
                network,
                agents,
                nodos,
                rules,
                padron,
                clients,
                classes,
                tenants,
                List.copyOf(newFaults));
    }

    /** Returns this plan with another protocol. */
    public Plan withProtocol(String protocol) {
        return new Plan(
                name,
                seconds,
                zones,
                worthByWork,
                new Network(
                        network.clientMs,
                        network.sameZoneMs,
                        network.crossZoneMs,
                        network.jitter,
                        network.megabitsPerSecond,
                        protocol),
                agents,
                nodos,
                rules,
                padron,
                clients,
                classes,
                tenants,
                faults);
    }

    /** Returns this plan with another source of the server list. */
    public Plan withSource(String source) {
        return new Plan(
                name,
                seconds,
                zones,
                worthByWork,
                network,
                agents,
                nodos,
                rules,
                new Discovery(padron.noticeDelaySeconds, padron.maxCallsPerSecond, source),
                clients,
                classes,
                tenants,
                faults);
    }

    /** Returns this plan with another rate of requests. */
    public Plan withRate(double rate) {
        return new Plan(
                name,
                seconds,
                zones,
                worthByWork,
                network,
                agents,
                nodos,
                rules,
                padron,
                new Clients(
                        rate,
                        clients.retries,
                        clients.backoffMs,
                        clients.retryAfterCompliance,
                        clients.tryTimeoutShare,
                        clients.hintError,
                        clients.marksRetry,
                        clients.retryAfterMs),
                classes,
                tenants,
                faults);
    }

    /** Returns this plan with other numbers of agents and servers, and the same rate of requests per server. */
    public Plan scaledTo(int agentCount, int nodoCount) {
        Agents scaledAgents = new Agents(agentCount, agents.maxSockets, agents.memoryMb, agents.skew);
        Nodos scaledNodos = new Nodos(
                nodoCount,
                nodos.bloque,
                nodos.limited,
                nodos.limit,
                nodos.coldFrom,
                nodos.coldSeconds,
                nodos.reportMs,
                nodos.noise,
                nodos.probeMs,
                nodos.connectionMs,
                nodos.maxConnections,
                nodos.idleTimeoutSeconds,
                nodos.machines);
        return new Plan(
                        name,
                        seconds,
                        zones,
                        worthByWork,
                        network,
                        scaledAgents,
                        scaledNodos,
                        rules,
                        padron,
                        clients,
                        classes,
                        tenants,
                        faults)
                .withRate(clients.rate * nodoCount / nodos.count);
    }

    /** Returns this plan with another length; faults that would begin later are left out. */
    public Plan withSeconds(double length) {
        List<Fault> remaining = faults.stream()
                .filter(fault -> fault.at().low() < length)
                .map(fault -> fault.startingAtLatest(length))
                .toList();
        return new Plan(
                name,
                length,
                zones,
                worthByWork,
                network,
                agents,
                nodos,
                rules,
                padron,
                clients,
                classes,
                tenants,
                remaining);
    }
}
