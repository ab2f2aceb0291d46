package gatefront.membership;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Takes servers whose address is the agent's own out of server lists. Guards against an agent that forwards requests to
 * itself, where they are rejected as duplicates: a list may be out of date, and the address of a server that has ended
 * may since have been given to the agent.
 */
public final class OwnAddressFilter {
    private final Predicate<InetSocketAddress> isOwnAddress;
    private final Consumer<String> log;
    /** Names of the servers in the last lists that had the agent's address; each is logged once. */
    private final Set<String> excluded = new HashSet<>();

    /** Creates a filter; {@code log} receives a line for each server that begins to be excluded. */
    public OwnAddressFilter(Predicate<InetSocketAddress> isOwnAddress, Consumer<String> log) {
        this.isOwnAddress = isOwnAddress;
        this.log = log;
    }

    /** Returns the entries with those at the agent's own address marked as gone. */
    public List<Endpoint> apply(List<Endpoint> endpoints) {
        if (excluded.isEmpty() && endpoints.stream().noneMatch(endpoint -> isOwnAddress.test(endpoint.address()))) {
            return endpoints;
        }
        return endpoints.stream().map(this::withoutOwnAddress).toList();
    }

    private Endpoint withoutOwnAddress(Endpoint endpoint) {
        if (!isOwnAddress.test(endpoint.address())) {
            excluded.remove(endpoint.name());
            return endpoint;
        }
        if (excluded.add(endpoint.name())) {
            log.accept("list: server " + endpoint.name() + " is left out, its address "
                    + endpoint.address().getAddress().getHostAddress() + ":"
                    + endpoint.address().getPort() + " is this agent's own");
        }
        return endpoint.asGone();
    }
}
