package gatefront.rehearsal.net;

import gatefront.transport.Transport;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** A machine that runs one process, and the faults that a rehearsal can inject into it. */
public interface Machine {
    /** Returns the name used in reports. */
    String name();

    /** Returns the transport of the process that runs now. */
    Transport transport();

    /** Returns the machine's address with a port. */
    InetSocketAddress address(int port);

    /**
     * Returns when the other side sent what a handler of this channel is being notified of, in nanoseconds of the
     * clock of the machine's process. If that is unknown, returns the earliest possible time.
     */
    long sentAtNanos(Channel channel);

    /** Whether a process is running. */
    boolean running();

    /** Kills the process: its timers are dropped, its connections are reset and new ones are refused. */
    void kill();

    /** Prepares the machine for a new process after the previous one has ended. */
    void boot();

    /** Cuts the machine off from the network, without notice to anybody. */
    void isolate();

    /** Connects the machine to the network again. Segments that were held meanwhile arrive late. */
    void reconnect();
}
