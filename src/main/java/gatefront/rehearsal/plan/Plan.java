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

    /** The number of agents, the limits of each, and how unevenly requests are spread over them. */
    public record Agents(int count, int maxSockets, int memoryMb, double skew) {}

    /**
     * The servers. Each draws its own cold start from the ranges; agents are configured with the worst case of both,
     * the lowest initial capacity and the longest time.
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

    /** A kind of machine that servers run on. */
    public record Machine(
            String name,
            double share,
            int cores,
            NumberRange speed,
            int slots,
            int queueCapacity,
            double thrash,
            double thrashAt) {}

    /** Limits of the rules that the rehearsal checks. */
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

    /** The clients: their rate of requests per second and how they retry. */
    public record Clients(
            double rate,
            int retries,
            double backoffMs,
            double retryAfterCompliance,
            NumberRange tryTimeoutShare,
            double hintError,
            boolean marksRetry,
            double retryAfterMs) {}

    /** A class of requests. */
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

    /** A municipio. */
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
