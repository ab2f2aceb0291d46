package gatefront.registry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** The members of a registry, in an order of each agent's own, so that they share the agents. */
final class RegistryMembers {
    private final List<InetSocketAddress> order;
    private int at;

    RegistryMembers(List<InetSocketAddress> endpoints, long seed) {
        order = new ArrayList<>(endpoints);
        Collections.shuffle(order, new Random(seed));
    }

    InetSocketAddress current() {
        return order.get(at);
    }

    void next() {
        at = (at + 1) % order.size();
    }

    /** The current one, for a line of the log. */
    String name() {
        return current().getAddress().getHostAddress() + ":" + current().getPort();
    }
}
