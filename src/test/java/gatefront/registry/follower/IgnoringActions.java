package gatefront.registry.follower;

import java.util.List;

/** Ignores all actions of a follower; tests override those they observe. */
class IgnoringActions implements Follower.Actions {
    @Override
    public void list(long call, boolean quorum) {}

    @Override
    public void watch(long call, long revision) {}

    @Override
    public void requestProgress(long call) {}

    @Override
    public void endCall(boolean failed) {}

    @Override
    public void scheduleTimer(long delay) {}

    @Override
    public void changed(boolean full, List<KeyChange> changes) {}

    @Override
    public void staleChanged(boolean now) {}

    @Override
    public void log(String line) {}
}
