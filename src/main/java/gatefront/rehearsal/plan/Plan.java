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
 * @param callers who asks
 * @param classes what for
 * @param tenants the municipios
 * @param faults what goes wrong
 */
public record Plan(
        String name,
        double seconds,
        List<String> zones,
        boolean worthByWork,
        Net network,
        Agents agents,
        Nodos nodos,
        Rules rules,
        Registry padron,
        Callers callers,
        List<Kind> classes,
        List<Tenant> tenants,
        List<Fault> faults) {
    /** One way in milliseconds, its relative jitter, the speed of each link, and what is spoken on them. */
    public record Net(
            double clientMs, double sameMs, NumberRange crossMs, double jitter, double megabits, String protocol) {}

    /** How many agents there are and what each may hold. */
    public record Agents(int count, int sockets, int memoryMb, double skew) {}

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
            int connections,
            double idleSeconds,
            List<Machine> kinds) {}

    /** A kind of machine. */
    public record Machine(
            String name,
            double share,
            int cores,
            NumberRange speed,
            int slots,
            int room,
            double thrash,
            double thrashAt) {}

    /** What the rules say. */
    public record Rules(double slackMs, double drainMs, double fallMultiple, double fallSeconds, int maxAttempts) {}

    /** How late the padrón tells, how many calls a second it can take (0 for any number), and what stands for it. */
    public record Registry(NumberRange noticeSeconds, double callsPerSecond, String source) {}

    /** The callers. */
    public record Callers(
            double rate,
            int retries,
            double backoffMs,
            double honour,
            NumberRange tryShare,
            double hintError,
            boolean marksRetry,
            double retryAfterMs) {}

    /** A class of requests. */
    public record Kind(
            String name,
            Balancer.Semantics semantics,
            Balancer.Scope scope,
            double windowMs,
            double share,
            NumberRange workMs,
            double variation,
            double aimMs,
            double giveUpMs,
            double worth) {}

    /** A municipio. */
    public record Tenant(String name, double share) {}

    /** The same day with other faults. */
    public Plan with(List<Fault> others) {
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
                callers,
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
                new Net(network.clientMs, network.sameMs, network.crossMs, network.jitter, network.megabits, protocol),
                agents,
                nodos,
                rules,
                padron,
                callers,
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
                new Registry(padron.noticeSeconds, padron.callsPerSecond, source),
                callers,
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
                new Callers(
                        rate,
                        callers.retries,
                        callers.backoffMs,
                        callers.honour,
                        callers.tryShare,
                        callers.hintError,
                        callers.marksRetry,
                        callers.retryAfterMs),
                classes,
                tenants,
                faults);
    }

    /** The same day at another size: so many agents and nodos, and as many requests for each nodo as before. */
    public Plan sized(int agentCount, int nodoCount) {
        Agents agentsNow = new Agents(agentCount, agents.sockets, agents.memoryMb, agents.skew);
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
                nodos.connections,
                nodos.idleSeconds,
                nodos.kinds);
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
                        callers,
                        classes,
                        tenants,
                        faults)
                .withRate(callers.rate * nodoCount / nodos.count);
    }

    /** The same day cut to another length; faults that would come after it are left out. */
    public Plan withSeconds(double length) {
        List<Fault> within = faults.stream()
                .filter(each -> each.at().low() < length)
                .map(each -> each.until(length))
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
                callers,
                classes,
                tenants,
                within);
    }
}
