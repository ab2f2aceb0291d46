package gatefront.membership;

import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Server;
import java.net.InetSocketAddress;

/**
 * A server as a source of membership lists it.
 *
 * @param server its line for the decision module
 * @param name the same at every agent
 * @param address where this agent reaches it
 */
public record Endpoint(Server server, String name, InetSocketAddress address) {
    /** The same server, which has left. */
    public Endpoint asGone() {
        return with(Phase.GONE, server.weight(), server.startedAt());
    }

    /** The same server in another state. */
    public Endpoint with(Phase phase, double weight, long startedAt) {
        return new Endpoint(
                new Server(server.id(), server.zone(), server.cell(), server.kind(), phase, weight, startedAt),
                name,
                address);
    }
}
