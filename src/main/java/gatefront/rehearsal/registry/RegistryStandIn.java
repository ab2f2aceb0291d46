package gatefront.rehearsal.registry;

import gatefront.rehearsal.world.KeyValueStore;
import gatefront.transport.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** One member of a stand-in registry, with the faults common to both kinds. */
public abstract class RegistryStandIn {
    /** Is notified of what a member sends. */
    public interface WriteListener {
        /**
         * Called when the member sends state.
         *
         * @param complete whether it is the complete state
         * @param values the values by key; null for a deleted key
         * @param stillOpen whether the connection that it was written to is still open
         */
        void written(boolean complete, Map<String, String> values, BooleanSupplier stillOpen);
    }

    private final Transport transport;
    private final Supplier<KeyValueStore> store;
    /** Open connections; each is removed when it closes. */
    private final Set<Channel> connections = new LinkedHashSet<>();

    private Channel serverChannel;
    private WriteListener writeListener = (complete, values, stillOpen) -> {};
    private long sentRevision;
    /** Whether the member answers nothing but keeps its connections open. */
    private boolean silent;

    private boolean overloaded;
    private int lagRevisions;
    private long notifyDelayMillis;
    private String token;
    /** Number of calls received: in total, full reads, and watches. */
    private int calls;

    private int reads;
    private int watches;

    RegistryStandIn(Transport transport, Supplier<KeyValueStore> store) {
        this.transport = transport;
        this.store = store;
    }

    /** Starts listening at an address. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport.serverChannels())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        connections.add(ch);
                        ch.closeFuture().addListener(closed -> connections.remove(ch));
                        initConnection(ch);
                    }
                })
                .bind(address);
        serverChannel = bound.channel();
        return bound;
    }

    /** Returns the address that the member listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    /** Sets up the pipeline of a new connection. */
    abstract void initConnection(Channel channel);

    /** Notifies waiting calls that the store has changed, at once or after the configured delay. */
    public final void storeChanged() {
        if (notifyDelayMillis == 0) {
            notifyWaiting();
        } else {
            transport.loop().schedule(this::notifyWaiting, notifyDelayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends waiting calls what they have not been sent. */
    abstract void notifyWaiting();

    /** Delays notifications after a change by {@code millis}, as a server with too many waiting calls does. */
    public void setNotifyDelay(long millis) {
        notifyDelayMillis = millis;
    }

    /** Whether notifications are delayed. */
    final boolean isNotifyDelayed() {
        return notifyDelayMillis > 0;
    }

    /** Stops listening and closes all connections, or listens again. */
    public void setDown(boolean down, InetSocketAddress address) {
        if (down) {
            serverChannel.close();
            closeConnections();
        } else {
            listen(address);
        }
    }

    /** Closes all connections. */
    public void closeConnections() {
        List.copyOf(connections).forEach(Channel::close);
    }

    /** Stops answering on all connections, which stay open, or resumes. */
    public void setSilent(boolean nowSilent) {
        silent = nowSilent;
        if (!nowSilent) {
            storeChanged();
        }
    }

    /** Sets whether calls are refused as by an overloaded server. */
    public void setOverloaded(boolean nowOverloaded) {
        overloaded = nowOverloaded;
    }

    /** Sets the number of revisions that this member is behind the others. */
    public void setLag(int revisions) {
        lagRevisions = revisions;
        storeChanged();
    }

    /** Requires a token from now on; an earlier token becomes invalid. */
    public void token(String required) {
        token = required;
    }

    /** Sets the listener for what this member sends. */
    public void writeListener(WriteListener listener) {
        writeListener = listener;
    }

    /** Returns the latest revision up to which this member has sent everything. */
    public long sentRevision() {
        return sentRevision;
    }

    final void notifyWritten(Channel channel, boolean complete, Map<String, String> values, long revision) {
        sentRevision = Math.max(sentRevision, revision);
        writeListener.written(complete, values, channel::isActive);
    }

    /** Returns the number of calls received. */
    public int calls() {
        return calls;
    }

    /** Returns the number of full reads received, or of their pages. */
    public int reads() {
        return reads;
    }

    /** Returns the number of watches received. */
    public int watches() {
        return watches;
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    final Transport transport() {
        return transport;
    }

    final KeyValueStore store() {
        return store.get();
    }

    /** Returns the revision that this member has reached. */
    final long revision() {
        return Math.max(store().oldestRevision() - 1, store().revision() - lagRevisions);
    }

    final boolean isSilent() {
        return silent;
    }

    final boolean isOverloaded() {
        return overloaded;
    }

    final String token() {
        return token;
    }

    final void countCall(boolean fullRead) {
        calls++;
        reads += fullRead ? 1 : 0;
        watches += fullRead ? 0 : 1;
    }
}
