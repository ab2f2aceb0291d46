package gatefront.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;

/**
 * The environment of one process: its event loop, clock, network and log. Channels created through it implement
 * {@link io.netty.channel.socket.DuplexChannel}, and addresses are {@link java.net.InetSocketAddress}.
 */
public interface Transport {
    /** Stands for a number of bytes that cannot be determined. */
    int UNKNOWN_BYTES = -1;

    /** Returns the event loop that runs all work of the process. */
    EventLoop loop();

    /** Returns the nanoseconds of a monotonic clock with an arbitrary origin; only differences are meaningful. */
    default long nanos() {
        return loop().ticker().nanoTime();
    }

    /**
     * Returns a time on the clock of {@link #nanos()} before which nothing that is being read now has arrived, on
     * channels that were being read from by then: when the loop polled its sockets for the time before the latest.
     */
    default long arrivedAfterNanos() {
        return nanos();
    }

    /** Returns the nanoseconds of a monotonic clock that all processes of this machine have in common. */
    default long machineNanos() {
        return nanos();
    }

    /** Returns the wall-clock time in microseconds since the Unix epoch, which is comparable between processes. */
    long wallMicros();

    /** Returns a factory of listening channels. */
    ChannelFactory<? extends ServerChannel> serverChannels();

    /** Returns a factory of listening channels whose address another process of the same agent may share. */
    default ChannelFactory<? extends ServerChannel> sharedServerChannels() {
        return serverChannels();
    }

    /**
     * Closes a channel of {@link #sharedServerChannels()}. Connections pending in the accept queue are accepted first,
     * in the same task of the loop; closing the listener would reset them.
     */
    default void closeSharedListener(Channel listener) {
        listener.close();
    }

    /** Returns a factory of channels for outgoing connections. */
    ChannelFactory<? extends Channel> clientChannels();

    /**
     * Returns whether a channel of {@link #clientChannels()} is open and has no unread input. Detects a close, or bytes
     * that would be taken as the next response, that have arrived since the loop last polled the socket.
     */
    boolean hasNoUnreadInput(Channel channel);

    /**
     * Reads the input of a channel that has arrived but has not been read by the loop, unless reading is paused; the
     * channel's handlers see it before this method returns. To be called on the loop before a peer is judged by its
     * silence: the process may have been suspended, or the loop busy, since the socket was last polled.
     */
    default void readArrivedInput(Channel channel) {}

    /**
     * Reads once from a channel, even if reading is paused; the channel's handlers see the input before this method
     * returns. To be called on the loop to detect that a peer has closed the connection behind input that is not wanted
     * yet.
     *
     * @return whether there was input, so that there may be more
     */
    default boolean readAhead(Channel channel) {
        return false;
    }

    /**
     * Returns how many bytes have arrived on an accepted channel and have not been read, or {@link #UNKNOWN_BYTES}. To
     * be called on the loop.
     */
    default int unreadInputBytes(Channel channel) {
        return UNKNOWN_BYTES;
    }

    /** Returns the maximum memory of the process, in bytes. */
    long maxMemoryBytes();

    /** Returns the trace of requests and connections, which is off by default. */
    default EventTrace trace() {
        return EventTrace.OFF;
    }

    /** Writes one line to the log of the process. */
    void log(String line);

    /** Shuts the loop down; {@code onClosed} runs after its last task. */
    void close(Runnable onClosed);
}
