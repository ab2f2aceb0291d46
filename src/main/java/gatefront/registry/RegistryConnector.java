package gatefront.registry;

import gatefront.registry.follower.Follower;

/** Makes a follower's calls to one kind of registry and passes the results to the follower. */
interface RegistryConnector {
    /** See {@link Follower.Actions#list}. */
    void list(long call, boolean quorum);

    /** See {@link Follower.Actions#watch}. */
    void watch(long call, long revision);

    /** See {@link Follower.Actions#requestProgress}. */
    void requestProgress(long call);

    /** Ends the call in progress; if the member failed, the next call goes to another member. */
    void endCall(boolean failed);
}
