package gatefront.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;

/**
 * The outside of one process: its loop, its clock, its network, its log. Channels made by it implement
 * {@link io.netty.channel.socket.DuplexChannel}, and addresses are {@link java.net.InetSocketAddress}.
 */
public interface Transport {
    /** The loop on which everything of the process runs. */
    EventLoop loop();

    /** Nanoseconds of a clock that never runs backwards; differences mean something, values do not. */
    default long nanos() {
        return loop().ticker().nanoTime();
    }

    /** Microseconds since 1970 by the time of day, which all processes share. */
    long wallMicros();

    /** Makes what listens. */
    ChannelFactory<? extends ServerChannel> listeners();

    /** Makes what listens on an address that another process of the same agent may share. */
    default ChannelFactory<? extends ServerChannel> sharedListeners() {
        return listeners();
    }

    /**
     * Ends a channel of {@link #sharedListeners()}: what the system has taken on for it is accepted first, in the same
     * turn of the loop. Guards against connections being reset that were made and not yet seen.
     */
    default void closeShared(Channel listener) {
        listener.close();
    }

    /** Makes what dials. */
    ChannelFactory<? extends Channel> dialers();

    /**
     * Whether a channel of {@link #dialers()} is open with nothing unread. Guards against what has arrived
     * since the loop last looked: a close, or bytes that would be taken for the next answer.
     */
    boolean silent(Channel channel);

    /** Bytes of memory that the process may use for what it holds. */
    long memory();

    /** One plain line for the process's log. */
    void log(String line);

    /** Ends the loop; {@code then} runs once nothing runs on it any more. */
    void close(Runnable then);
}
