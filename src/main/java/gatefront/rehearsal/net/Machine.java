package gatefront.rehearsal.net;

import gatefront.transport.Transport;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/** A machine with one process on it: what a rehearsal can do to it. */
public interface Machine {
    /** Its name in reports. */
    String name();

    /** The outside of the process that runs now. */
    Transport transport();

    /** One of its addresses. */
    InetSocketAddress at(int port);

    /**
     * Nanoseconds of its process's clock at which the other side sent what a handler of this channel is being told
     * of; where that is not known, the earliest time that it can have been.
     */
    long sentAt(Channel channel);

    /** Whether a process runs here. */
    boolean running();

    /** Ends the process outright: its timers are gone, its connections reset, new ones refused. */
    void kill();

    /** Makes room for a new process, in place of one that has ended. */
    void boot();

    /** From now on nothing leaves the machine or reaches it; nobody is told. */
    void vanish();

    /** The machine is there again. What was held back on its way arrives, late. */
    void appear();
}
