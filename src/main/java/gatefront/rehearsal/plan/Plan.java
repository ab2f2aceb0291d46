package gatefront.rehearsal.plan;

import gatefront.policy.Balancer;
import gatefront.toml.NumberRange;
import java.util.List;

/**
 * What a rehearsal plays. Times in seconds or milliseconds as the names say.
 *
 * @param name for the report
 * @param seconds how long callers come
 * @param zones names of the salas
 * @param worthByWork whether worth counts for each unit of work
 * @param network the ways
 * @param agents the agents
 * @param nodos the nodos
 * @param rules what the four rules say
 * @param padron the server list
 * @param clients who asks
 * @param classes what for
 * @param tenants the municipios
 * @param faults what goes wrong
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
    /** One way in milliseconds, its relative jitter, the speed of each link, and what is spoken on them. */
    public record Network(
            double clientMs,
            double sameZoneMs,
            NumberRange crossZoneMs,
            double jitter,
            double megabitsPerSecond,
            String protocol) {}

    /** How many agents there are and what each may hold. */
    public record Agents(int count, int maxSockets, int memoryMb, double skew) {}

    /** The nodos. Each draws its own cold start from the ranges; agents are told the worst of both. */
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

    /** A kind of machine. */
    public record Machine(
            String name,
            double share,
            int cores,
            NumberRange speed,
            int slots,
            int queueCapacity,
            double thrash,
            double thrashAt) {}

    /** What the rules say. */
    public record Rules(
            double answerSlackMs, double drainGraceMs, double fallMultiple, double fallSeconds, int maxAttempts) {}

    /** How late the padrón tells, how many calls a second it can take (0 for any number), and what stands for it. */
    public record Discovery(NumberRange noticeDelaySeconds, double maxCallsPerSecond, String source) {}

    /** The callers. */
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

    /** The same day with other faults. */
    public Plan withFaults(List<Fault> others) {
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
                List.copyOf(others));
    }

    /** The same day over another protocol. */
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

    /** The same day with another source of the server list. */
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

    /** The same day with another rate of requests. */
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

    /** The same day at another size: so many agents and nodos, and as many requests for each nodo as before. */
    public Plan scaledTo(int agentCount, int nodoCount) {
        Agents agentsNow = new Agents(agentCount, agents.maxSockets, agents.memoryMb, agents.skew);
        Nodos nodosNow = new Nodos(
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
                        agentsNow,
                        nodosNow,
                        rules,
                        padron,
                        clients,
                        classes,
                        tenants,
                        faults)
                .withRate(clients.rate * nodoCount / nodos.count);
    }

    /** The same day cut to another length; faults that would come after it are left out. */
    public Plan withSeconds(double length) {
        List<Fault> within = faults.stream()
                .filter(each -> each.at().low() < length)
                .map(each -> each.startingAtLatest(length))
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
                within);
    }
}
