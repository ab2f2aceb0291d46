package gatefront.registry.follower;

import java.util.List;

/** Does nothing of what a follower asks for; tests override what they look at. */
class IgnoringActions implements Follower.Actions {
    @Override
    public void list(long call, boolean quorum) {}

    @Override
    public void watch(long call, long revision) {}

    @Override
    public void ask(long call) {}

    @Override
    public void drop(boolean failed) {}

    @Override
    public void timer(long delay) {}

    @Override
    public void changed(boolean full, List<KeyChange> changes) {}

    @Override
    public void stale(boolean now) {}

    @Override
    public void log(String line) {}
}
