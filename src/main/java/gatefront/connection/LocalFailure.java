package gatefront.connection;

import io.netty.channel.ChannelException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.PortUnreachableException;
import java.net.SocketException;
import java.util.Locale;

/** Tells failures of the agent's own machine to connect from those of the server or of the way there. */
final class LocalFailure {
    private LocalFailure() {}

    /**
     * Returns whether a connection could not be made for want of descriptors, memory, ports or a network on this
     * machine (EMFILE, ENFILE, ENOBUFS, EADDRNOTAVAIL, ENETUNREACH), which says nothing about the server.
     */
    static boolean isLocal(Throwable cause) {
        if (cause instanceof ChannelException || cause instanceof BindException) {
            return true;
        }
        // Java has no types for the other local errors, and reports a reset by the server with the general type too.
        return cause instanceof SocketException
                && !(cause instanceof ConnectException)
                && !(cause instanceof NoRouteToHostException)
                && !(cause instanceof PortUnreachableException)
                && !String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT).contains("reset");
    }
}
