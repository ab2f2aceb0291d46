package gatefront.membership;

import gatefront.policy.Balancer.ListKind;
import gatefront.policy.Balancer.Phase;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Finds servers in the list whose address has another server, which started later: they are gone, as an address has one
 * process. Guards against taking a process that has come up there for the former one, whose load it would get while it
 * is cold, and whose zone and cell say where a request may be repeated.
 *
 * <p>State: the listed servers by name and by address, and the names of those found gone since the last whole list.
 */
public final class AddressSuccession {
    private final Consumer<String> log;
    private final Map<String, Endpoint> byName = new HashMap<>();
    private final Map<InetSocketAddress, Endpoint> byAddress = new HashMap<>();
    /** Names of the servers that were found gone and not listed otherwise since; each is logged once. */
    private final Set<String> replacedNames = new HashSet<>();

    /** Creates an empty list; {@code log} receives a line for each server that is found gone. */
    public AddressSuccession(Consumer<String> log) {
        this.log = log;
    }

    /** Applies a list or changes of it, and returns it with the servers marked as gone whose address has another. */
    public List<Endpoint> apply(ListKind kind, List<Endpoint> endpoints) {
        List<Endpoint> ordered = new ArrayList<>(endpoints);
        boolean whole = kind == ListKind.FULL || kind == ListKind.CACHED;
        if (whole) {
            byName.clear();
            byAddress.clear();
            replacedNames.retainAll(endpoints.stream().map(Endpoint::name).toList());
            ordered.sort(Comparator.comparingLong(endpoint -> -endpoint.server().startedAt()));
        }
        Map<String, Endpoint> result = new LinkedHashMap<>();
        for (Endpoint endpoint : ordered) {
            remove(endpoint.name());
            Endpoint holder = byAddress.get(endpoint.address());
            if (endpoint.server().phase() == Phase.GONE) {
                replacedNames.remove(endpoint.name());
                result.put(endpoint.name(), endpoint);
            } else if (holder != null && startedBefore(endpoint, holder, whole)) {
                result.put(endpoint.name(), replacedBy(endpoint, holder));
            } else {
                if (holder != null) {
                    remove(holder.name());
                    result.put(holder.name(), replacedBy(holder, endpoint));
                }
                list(endpoint);
                result.put(endpoint.name(), endpoint);
            }
        }
        return List.copyOf(result.values());
    }

    /** Of two servers with the same start, the one that is added by a change is the later one. */
    private static boolean startedBefore(Endpoint endpoint, Endpoint holder, boolean whole) {
        long latest = holder.server().startedAt();
        return endpoint.server().startedAt() < latest
                || whole && endpoint.server().startedAt() == latest;
    }

    private void list(Endpoint endpoint) {
        replacedNames.remove(endpoint.name());
        byName.put(endpoint.name(), endpoint);
        byAddress.put(endpoint.address(), endpoint);
    }

    private void remove(String name) {
        Endpoint former = byName.remove(name);
        if (former != null) {
            byAddress.remove(former.address(), former);
        }
    }

    private Endpoint replacedBy(Endpoint former, Endpoint successor) {
        if (replacedNames.add(former.name())) {
            log.accept("list: server " + former.name() + " is left out, its address "
                    + former.address().getAddress().getHostAddress() + ":"
                    + former.address().getPort() + " has " + successor.name() + " by now");
        }
        return former.asGone();
    }
}
