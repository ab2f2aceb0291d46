package gatefront.registry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** The members of a registry in an order that is shuffled for each agent, so that the agents are spread over them. */
final class RegistryMembers {
    private final List<InetSocketAddress> members;
    private int index;

    RegistryMembers(List<InetSocketAddress> endpoints, long seed) {
        members = new ArrayList<>(endpoints);
        Collections.shuffle(members, new Random(seed));
    }

    InetSocketAddress current() {
        return members.get(index);
    }

    void moveToNext() {
        index = (index + 1) % members.size();
    }

    /** Returns the address of the current member, for log lines. */
    String address() {
        return current().getAddress().getHostAddress() + ":" + current().getPort();
    }
}
