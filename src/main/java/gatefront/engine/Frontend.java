package gatefront.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Where calls come in. Each exchange gets one answer in its turn, whatever else happens to its connection. */
public interface Frontend {
    /** What hears of the calls. */
    interface Listener {
        /** A well-formed call has come; it is owed one answer through its exchange. */
        void request(ClientRequest request, Exchange exchange);

        /** The caller has left with this exchange unanswered. */
        void clientLeft(Exchange exchange);
    }

    /** Begins to listen; the future tells whether it could. */
    ChannelFuture listen();

    /** What listens. */
    Channel channel();

    /** From now on it says that it is not ready; all else goes on. */
    void markNotReady();

    /** Another process takes over its address: no further connections, and each answer is the last of its own. */
    void handOver();

    /** From now on each answer is the last of its connection, and connections in no use are closed. */
    void drain();

    /** Takes no further connections, nor what has not come whole by now. */
    void stopListening();

    /** Whether no connection is left. */
    boolean isEmpty();
}
