package gatefront.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/**
 * Accepts requests from clients. Each exchange gets one response, in order, whatever else happens on its connection.
 */
public interface Frontend {
    /** Receives the requests. */
    interface Listener {
        /**
         * A well-formed request has arrived; it must get one response through its exchange.
         *
         * @param sentNanos when the client sent it, as far as is known, on the clock of the transport
         */
        void request(ClientRequest request, long sentNanos, Exchange exchange);

        /** The client has disconnected before this exchange got its response. */
        void clientLeft(Exchange exchange);
    }

    /** Starts listening; the future reports whether the address could be bound. */
    ChannelFuture listen();

    /** Returns the listening channel. */
    Channel channel();

    /** Reports "not ready" to health checks from now on; requests are served as before. */
    void markNotReady();

    /**
     * Hands the address over to another process: accepts no further connections, and closes each after its next
     * response.
     */
    void handOver();

    /** Closes idle connections, and from now on each other connection after its next response. */
    void drain();

    /** Accepts no further connections, and closes those on which no complete request has arrived. */
    void stopListening();

    /** Returns whether no connection is open. */
    boolean isEmpty();
}
