package gatefront.registry;

import gatefront.registry.follower.FollowerLimits;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * How an agent follows a registry.
 *
 * @param kind which protocol it speaks
 * @param endpoints its members
 * @param prefix below which the keys stand, with its last slash
 * @param instead whether the padrón is not asked at all; else both count
 * @param user who asks, or null
 * @param password of the user, or null
 * @param token of Consul, or null
 * @param service of Consul whose instances are listed by their health, in place of keys; or null
 * @param reads which reads are believed
 * @param bounds what the follower keeps to
 * @param stateFile where the last state is kept, or null
 */
public record RegistrySettings(
        Kind kind,
        List<InetSocketAddress> endpoints,
        String prefix,
        boolean instead,
        String user,
        String password,
        String token,
        String service,
        Reads reads,
        FollowerLimits bounds,
        Path stateFile) {
    /** What a registry speaks. */
    public enum Kind {
        /** etcd, version 3, over gRPC. */
        ETCD,
        /** Consul's key-value store, over HTTP. */
        CONSUL
    }

    /** Who answers a read: a quorum, the leader, or any member from what it has. */
    public enum Reads {
        /** A quorum. */
        CONSISTENT,
        /** As the registry has it. */
        USUAL,
        /** Any member. */
        STALE
    }

    /** With the usual reads, without secrets and disk, in place of the padrón. */
    public static RegistrySettings of(
            Kind kind, List<InetSocketAddress> endpoints, String prefix, FollowerLimits bounds) {
        return new RegistrySettings(
                kind, List.copyOf(endpoints), prefix, true, null, null, null, null, Reads.USUAL, bounds, null);
    }
}
