package gatefront.membership;

import gatefront.policy.Balancer.Phase;
import gatefront.policy.Balancer.Server;
import java.net.InetSocketAddress;

/**
 * A server as a source of the server list reports it.
 *
 * @param server the server as the decision module sees it
 * @param name the server's name, which is the same at every agent
 * @param address the address at which this agent reaches the server
 */
public record Endpoint(Server server, String name, InetSocketAddress address) {
    /** Returns this server as one that has left the list. */
    public Endpoint asGone() {
        return with(Phase.GONE, server.weight(), server.startedAt());
    }

    /** Returns this server with another phase, weight and start time. */
    public Endpoint with(Phase phase, double weight, long startedAt) {
        return new Endpoint(
                new Server(server.id(), server.zone(), server.cell(), server.kind(), phase, weight, startedAt),
                name,
                address);
    }
}
