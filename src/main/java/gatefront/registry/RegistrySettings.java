package gatefront.registry;

import gatefront.registry.follower.FollowerLimits;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Configures how an agent follows a registry.
 *
 * @param kind the kind of registry
 * @param endpoints the addresses of its members
 * @param prefix the prefix of the keys, with its trailing slash
 * @param replacesPadron whether the padrón is not used at all; otherwise both sources are used
 * @param user the etcd user, or null
 * @param password the password of the user, or null
 * @param token the Consul token, or null
 * @param service the Consul service whose instances are listed by their health instead of keys, or null
 * @param reads the consistency of reads
 * @param limits the limits and intervals of the follower
 * @param stateFile the file that the last state is stored in, or null
 */
public record RegistrySettings(
        Kind kind,
        List<InetSocketAddress> endpoints,
        String prefix,
        boolean replacesPadron,
        String user,
        String password,
        String token,
        String service,
        Reads reads,
        FollowerLimits limits,
        Path stateFile) {
    /** The kinds of registries, by protocol. */
    public enum Kind {
        /** etcd, version 3, over gRPC. */
        ETCD,
        /** Consul's key-value store, over HTTP. */
        CONSUL
    }

    /**
     * The consistency of reads: confirmed by a quorum, served by the leader, or served by any member from its own data.
     */
    public enum Reads {
        /** Reads are confirmed by a quorum. */
        CONSISTENT,
        /** The registry's default consistency. */
        USUAL,
        /** Any member serves reads from its own data, which may be stale. */
        STALE
    }

    /** Returns settings with default reads, without credentials and state file, that replace the padrón. */
    public static RegistrySettings of(
            Kind kind, List<InetSocketAddress> endpoints, String prefix, FollowerLimits limits) {
        return new RegistrySettings(
                kind, List.copyOf(endpoints), prefix, true, null, null, null, null, Reads.USUAL, limits, null);
    }
}
