package gatefront.rehearsal.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Transmits segments between hosts, with latency and in order per direction of a connection, like TCP. Segments from
 * or to an isolated machine are held, as TCP would retransmit them, until the machine reconnects. A segment to a
 * process that has ended or to a closed connection is answered with a reset.
 */
public final class Network {
    /** Maximum unread bytes per direction, in transit and at the reader; stands for both socket buffers. */
    static final int WINDOW_BYTES = 128 << 10;
    /**
     * Maximum number of segments held for isolated machines; then the oldest is dropped, as its sender would give up.
     */
    private static final int MAX_HELD_SEGMENTS = 100_000;
    /** Delay until an unanswered SYN is sent again: the first retransmission according to RFC 6298. */
    private static final long SYN_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    final VirtualTime time;
    final long epochMicros;
    private final LatencyModel latency;
    private final Map<InetAddress, VirtualHost> hosts = new LinkedHashMap<>();
    private final Deque<HeldSegment> heldSegments = new ArrayDeque<>();
    private long nextId;

    private record HeldSegment(VirtualHost from, VirtualHost to, Runnable arrival) {}

    /**
     * Creates a network without hosts.
     *
     * @param time the clock
     * @param epochMicros the time of day at the clock's start, in microseconds since 1970
     * @param latency the latency between hosts
     */
    public Network(VirtualTime time, long epochMicros, LatencyModel latency) {
        this.time = time;
        this.epochMicros = epochMicros;
        this.latency = latency;
    }

    /**
     * Adds a machine with a running process.
     *
     * @param name the name used in reports
     * @param address its address, which no other host may have
     * @param zone index of its zone
     * @param memory the memory of its process, in bytes
     * @param log gets the log lines of its process
     * @return the machine
     */
    public VirtualHost host(String name, InetAddress address, int zone, long memory, Consumer<String> log) {
        VirtualHost host = new VirtualHost(this, name, address, zone, memory, log);
        if (hosts.putIfAbsent(address, host) != null) {
            throw new IllegalArgumentException("address already in use by another host: " + address);
        }
        return host;
    }

    /**
     * Returns when the other side sent what a channel's handlers are being notified of, the end of the stream
     * included. For channels of other transports this is unknown, and the current time is returned.
     *
     * @param channel the channel whose handler asks
     * @return the time, in nanoseconds of the channel's clock
     */
    static long sentAtNanos(Channel channel) {
        return channel instanceof MemoryChannel memoryChannel
                ? memoryChannel.sentAtNanos()
                : channel.eventLoop().ticker().nanoTime();
    }

    ChannelId newId() {
        return new Id(nextId++);
    }

    /**
     * Transmits along one direction. {@code notBefore} is the latest arrival so far, so that arrivals keep their
     * order.
     */
    long transmit(VirtualHost from, VirtualHost to, int bytes, long notBefore, Runnable arrival) {
        long at = Math.max(notBefore, time.nanoTime() + latency.delayNanos(from, to, bytes));
        schedule(from, to, at, arrival);
        return at;
    }

    private void schedule(VirtualHost from, VirtualHost to, long at, Runnable arrival) {
        Runnable arriveOrHold = () -> {
            if (from.isolated() || to.isolated()) {
                if (heldSegments.size() >= MAX_HELD_SEGMENTS) {
                    heldSegments.pollFirst();
                }
                heldSegments.add(new HeldSegment(from, to, arrival));
            } else {
                arrival.run();
            }
        };
        if (to.running()) {
            to.loop().schedule(arriveOrHold, at - time.nanoTime(), TimeUnit.NANOSECONDS);
        } else if (from.running()) {
            from.loop().schedule(arriveOrHold, at - time.nanoTime(), TimeUnit.NANOSECONDS); // the sender's end is reset
        }
    }

    void reconnected(VirtualHost host) {
        List<HeldSegment> released = new ArrayList<>(heldSegments);
        heldSegments.clear();
        for (HeldSegment segment : released) {
            if (segment.from == host || segment.to == host) {
                schedule(
                        segment.from,
                        segment.to,
                        time.nanoTime() + latency.delayNanos(segment.from, segment.to, 0),
                        segment.arrival);
            } else {
                heldSegments.add(segment);
            }
        }
    }

    /** Resets the connections of a process that has ended. */
    void processDied(VirtualHost host) {
        host.listeners.clear();
        for (MemoryChannel channel : List.copyOf(host.channels)) {
            channel.abandon();
        }
        host.channels.clear();
    }

    /** Sends a SYN. */
    void connect(MemoryChannel from, InetSocketAddress to) {
        VirtualHost host = hosts.get(to.getAddress());
        if (host == null) {
            return; // no such machine, so no answer
        }
        Runnable arrival = () -> {
            MemoryServerChannel server = host.running() ? host.listeners.get(to.getPort()) : null;
            if (server == null) {
                transmit(host, from.host, 0, 0, from::connectionRefused);
            } else if (!server.offer(from)) {
                retryConnect(from, to);
            }
        };
        if (host.running()) {
            transmit(from.host, host, 0, 0, arrival);
        } else if (!host.isolated()) {
            transmit(
                    host,
                    from.host,
                    0,
                    time.nanoTime() + 2 * latency.delayNanos(from.host, host, 0),
                    from::connectionRefused);
        } else {
            retryConnect(from, to);
        }
    }

    private void retryConnect(MemoryChannel from, InetSocketAddress to) {
        if (from.host.running()) {
            from.host
                    .loop()
                    .schedule(
                            () -> {
                                if (from.isConnecting()) {
                                    connect(from, to);
                                }
                            },
                            SYN_RETRY_NANOS,
                            TimeUnit.NANOSECONDS);
        }
    }

    /** A channel id that is the same in every run. */
    private record Id(long number) implements ChannelId {
        private static final long serialVersionUID = 1;

        @Override
        public String asShortText() {
            return "m" + number;
        }

        @Override
        public String asLongText() {
            return asShortText();
        }

        @Override
        public int compareTo(ChannelId other) {
            return other instanceof Id id
                    ? Long.compare(number, id.number)
                    : asLongText().compareTo(other.asLongText());
        }
    }
}
