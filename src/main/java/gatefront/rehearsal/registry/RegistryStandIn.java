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

/** One member of a stand-in registry: what both kinds can be made to do. */
public abstract class RegistryStandIn {
    /** Hears what is told to whoever asks here. */
    public interface Telling {
        /**
         * Something is being written.
         *
         * @param whole whether it is all there is
         * @param values by their keys; null for one that is gone
         * @param open whether the connection it is written on has not ended since
         */
        void told(boolean whole, Map<String, String> values, BooleanSupplier open);
    }

    private final Transport transport;
    private final Supplier<KeyValueStore> store;
    /** Connections, each removed when it closes. */
    private final Set<Channel> open = new LinkedHashSet<>();

    private Channel listening;
    private Telling telling = (whole, values, open) -> {};
    private long toldUpTo;
    /** It answers nothing, on no connection, and closes none. */
    private boolean silent;

    private boolean overloaded;
    private int lag;
    private long late;
    private String secret;
    /** What came: calls in all, full reads and watches. */
    private int calls;

    private int reads;
    private int watches;

    RegistryStandIn(Transport transport, Supplier<KeyValueStore> store) {
        this.transport = transport;
        this.store = store;
    }

    /** Takes connections at an address. */
    public ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = new ServerBootstrap()
                .group(transport.loop())
                .channelFactory(transport.serverChannels())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        open.add(ch);
                        ch.closeFuture().addListener(closed -> open.remove(ch));
                        serve(ch);
                    }
                })
                .bind(at);
        listening = bound.channel();
        return bound;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Sets up a connection. */
    abstract void serve(Channel channel);

    /** The store has changed: those who wait are told, at once or as late as it is. */
    public final void news() {
        if (late == 0) {
            tellAll();
        } else {
            transport.loop().schedule(this::tellAll, late, TimeUnit.MILLISECONDS);
        }
    }

    /** Tells those who wait what they have not been told. */
    abstract void tellAll();

    /** From now on it tells those who wait so many milliseconds after a change, as one with too many of them. */
    public void late(long millis) {
        late = millis;
    }

    /** Whether it has not got round to those who wait. */
    final boolean isLate() {
        return late > 0;
    }

    /** Takes no new connections and closes those there are, or takes them again. */
    public void down(boolean now, InetSocketAddress at) {
        if (now) {
            listening.close();
            cut();
        } else {
            listen(at);
        }
    }

    /** Closes all connections. */
    public void cut() {
        List.copyOf(open).forEach(Channel::close);
    }

    /** From now on it says nothing on any connection, which stay open, or speaks again. */
    public void silent(boolean now) {
        silent = now;
        if (!now) {
            news();
        }
    }

    /** Whether it turns calls away, as one that has too much to do. */
    public void overloaded(boolean now) {
        overloaded = now;
    }

    /** By how many revisions it is behind the others. */
    public void lag(int revisions) {
        lag = revisions;
        news();
    }

    /** From now on calls need a secret; what was given out under an earlier one is no longer good. */
    public void secret(String now) {
        secret = now;
    }

    /** Has somebody hear what is told. */
    public void telling(Telling listener) {
        telling = listener;
    }

    /** The newest revision up to which everything has been told here. */
    public long toldUpTo() {
        return toldUpTo;
    }

    final void wrote(Channel on, boolean whole, Map<String, String> values, long upTo) {
        toldUpTo = Math.max(toldUpTo, upTo);
        telling.told(whole, values, on::isActive);
    }

    /** Calls so far. */
    public int calls() {
        return calls;
    }

    /** Full reads so far, or their pages. */
    public int reads() {
        return reads;
    }

    /** Watches so far. */
    public int watches() {
        return watches;
    }

    /** Connections that are open. */
    public int connections() {
        return open.size();
    }

    final Transport transport() {
        return transport;
    }

    final KeyValueStore store() {
        return store.get();
    }

    /** How far this member is. */
    final long revision() {
        return Math.max(store().oldest() - 1, store().revision() - lag);
    }

    final boolean isSilent() {
        return silent;
    }

    final boolean isOverloaded() {
        return overloaded;
    }

    final String secret() {
        return secret;
    }

    final void counted(boolean read) {
        calls++;
        reads += read ? 1 : 0;
        watches += read ? 0 : 1;
    }
}
