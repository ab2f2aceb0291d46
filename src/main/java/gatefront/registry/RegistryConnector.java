package gatefront.registry;

import gatefront.registry.follower.Follower;

/** Makes a follower's calls to one kind of registry, and hands it what comes of them. */
interface RegistryConnector {
    /** See {@link Follower.Actions#list}. */
    void list(long call, boolean quorum);

    /** See {@link Follower.Actions#watch}. */
    void watch(long call, long revision);

    /** See {@link Follower.Actions#ask}. */
    void ask(long call);

    /** Ends what is out; the next call goes to another member if this one failed. */
    void drop(boolean failed);
}
