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
 * Carries segments between hosts, with delay and in order for each direction of a connection, as TCP does. What
 * meets a vanished machine is held (TCP would send it again) until the machine is back; what meets a process
 * that has died, or a connection that is closed, is answered with a reset.
 */
public final class Network {
    /** Unread bytes of one direction, on the way and at the reader: both socket buffers together. */
    static final int WINDOW = 128 << 10;
    /** Held for vanished machines in all; the oldest goes when there is more, as its sender would give up. */
    private static final int HELD_MOST = 100_000;
    /** When an unanswered attempt to connect is made again: the first retransmission of a SYN, RFC 6298. */
    private static final long SYN_AGAIN_NANOS = TimeUnit.SECONDS.toNanos(1);

    final VirtualTime time;
    final long epochMicros;
    private final LatencyModel links;
    private final Map<InetAddress, VirtualHost> hosts = new LinkedHashMap<>();
    private final Deque<Held> held = new ArrayDeque<>();
    private long nextId;

    private record Held(VirtualHost from, VirtualHost to, Runnable arrival) {}

    /**
     * A network without hosts.
     *
     * @param time its clock
     * @param epochMicros the time of day at the clock's start
     * @param links how long the ways are
     */
    public Network(VirtualTime time, long epochMicros, LatencyModel links) {
        this.time = time;
        this.epochMicros = epochMicros;
        this.links = links;
    }

    /**
     * A machine with a process; the address must be new here.
     *
     * @param name for reports
     * @param address where it is reached
     * @param zone where it stands
     * @param memory what its process may use, in bytes
     * @param log gets the process's log
     * @return the machine
     */
    public VirtualHost host(String name, InetAddress address, int zone, long memory, Consumer<String> log) {
        VirtualHost host = new VirtualHost(this, name, address, zone, memory, log);
        if (hosts.putIfAbsent(address, host) != null) {
            throw new IllegalArgumentException("two hosts at " + address);
        }
        return host;
    }

    /**
     * When the other side sent what a channel's handlers are now told of, its end included; on other channels
     * than those of a network here, which do not know, it is the time now.
     *
     * @param channel whose handler asks
     * @return nanoseconds of the channel's clock
     */
    static long sentAt(Channel channel) {
        return channel instanceof MemoryChannel here
                ? here.sentAt()
                : channel.eventLoop().ticker().nanoTime();
    }

    ChannelId newId() {
        return new Id(nextId++);
    }

    /** Sends along one direction; arrivals keep their order, for {@code notBefore} is the latest so far. */
    long carry(VirtualHost from, VirtualHost to, int bytes, long notBefore, Runnable arrival) {
        long at = Math.max(notBefore, time.nanoTime() + links.delayNanos(from, to, bytes));
        schedule(from, to, at, arrival);
        return at;
    }

    private void schedule(VirtualHost from, VirtualHost to, long at, Runnable arrival) {
        Runnable then = () -> {
            if (from.vanished() || to.vanished()) {
                if (held.size() >= HELD_MOST) {
                    held.pollFirst();
                }
                held.add(new Held(from, to, arrival));
            } else {
                arrival.run();
            }
        };
        if (to.running()) {
            to.loop().schedule(then, at - time.nanoTime(), TimeUnit.NANOSECONDS);
        } else if (from.running()) {
            from.loop().schedule(then, at - time.nanoTime(), TimeUnit.NANOSECONDS); // to be reset from there
        }
    }

    void appeared(VirtualHost host) {
        List<Held> again = new ArrayList<>(held);
        held.clear();
        for (Held each : again) {
            if (each.from == host || each.to == host) {
                schedule(each.from, each.to, time.nanoTime() + links.delayNanos(each.from, each.to, 0), each.arrival);
            } else {
                held.add(each);
            }
        }
    }

    /** The process has ended: its machine resets what it had open. */
    void died(VirtualHost host) {
        host.listening.clear();
        for (MemoryChannel each : List.copyOf(host.channels)) {
            each.abandon();
        }
        host.channels.clear();
    }

    /** A SYN on its way. */
    void dial(MemoryChannel from, InetSocketAddress to) {
        VirtualHost host = hosts.get(to.getAddress());
        if (host == null) {
            return; // no such machine: nobody answers
        }
        Runnable arrival = () -> {
            MemoryServerChannel server = host.running() ? host.listening.get(to.getPort()) : null;
            if (server == null) {
                carry(host, from.host, 0, 0, from::refused);
            } else if (!server.offer(from)) {
                again(from, to);
            }
        };
        if (host.running()) {
            carry(from.host, host, 0, 0, arrival);
        } else if (!host.vanished()) {
            carry(host, from.host, 0, time.nanoTime() + 2 * links.delayNanos(from.host, host, 0), from::refused);
        } else {
            again(from, to);
        }
    }

    private void again(MemoryChannel from, InetSocketAddress to) {
        if (from.host.running()) {
            from.host
                    .loop()
                    .schedule(
                            () -> {
                                if (from.connecting()) {
                                    dial(from, to);
                                }
                            },
                            SYN_AGAIN_NANOS,
                            TimeUnit.NANOSECONDS);
        }
    }

    /** An identity that is the same in every run. */
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
