package gatefront.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.registry.follower.Follower;
import gatefront.registry.follower.FollowerLimits;
import gatefront.registry.follower.KeyChange;
import gatefront.registry.follower.KeyEntry;
import gatefront.rehearsal.net.Network;
import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.net.VirtualTime;
import gatefront.rehearsal.registry.RegistryStandIn;
import gatefront.rehearsal.world.KeyValueStore;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What holds for a registry of either kind, by what goes wrong. On virtual time; one way takes 5 ms. */
abstract class RegistryContract {
    static final long MS = 1_000_000;
    static final long SECOND = 1_000 * MS;
    static final String PREFIX = "oaxaca/";
    private static final String END = KeyValueStore.prefixEnd(PREFIX);
    private static final int MEMBERS = 3;
    private static final int PORT = 2379;
    /** Told so long after the connection can be had again: the longest wait, a dial and two round trips. */
    private static final long BOUND = 1_000 * MS + 100 * MS;

    final VirtualTime time = new VirtualTime();
    final Network network = new Network(time, 0, (from, to, bytes) -> 5 * MS);
    KeyValueStore store = new KeyValueStore(7);
    final List<RegistryStandIn> members = new ArrayList<>();
    private final List<VirtualHost> hosts = new ArrayList<>();
    final List<String> lines = new ArrayList<>();
    final List<KeyChange> told = new ArrayList<>();
    private final List<Boolean> stale = new ArrayList<>();
    private int fulls;
    RegistryClient client;

    abstract RegistrySettings.Kind kind();

    abstract RegistryStandIn member(VirtualHost host);

    FollowerLimits bounds() {
        boolean etcd = kind() == RegistrySettings.Kind.ETCD;
        return new FollowerLimits(
                50_000, 1_000_000, etcd ? 0 : 60_000, etcd ? 2_000_000 : 0, 6_000_000, 15_000_000, 600_000_000, 20_000);
    }

    RegistrySettings settings() {
        return RegistrySettings.of(kind(), addresses(), PREFIX, bounds());
    }

    final List<InetSocketAddress> addresses() {
        return hosts.stream().limit(MEMBERS).map(each -> each.address(PORT)).toList();
    }

    final VirtualHost host(String name, int net, int last) throws Exception {
        return network.host(
                name, InetAddress.getByAddress(new byte[] {127, 0, (byte) net, (byte) last}), 0, 1 << 26, lines::add);
    }

    @BeforeEach
    void set() throws Exception {
        for (int i = 0; i < MEMBERS; i++) {
            hosts.add(host("registry-" + i, 2, 2 + i));
            members.add(member(hosts.get(i)));
            members.get(i).listen(hosts.get(i).address(PORT));
        }
        run(0);
    }

    final void run(long nanos) {
        time.run(time.nanoTime() + nanos);
    }

    final RegistryClient follow(int agent, RegistryClient.Listener listener) throws Exception {
        VirtualHost host = host("agent-" + agent, 8 + agent / 200, 1 + agent % 200);
        return new RegistryClient(host, settings(), 1_000 + agent, listener);
    }

    final void follow() throws Exception {
        client = follow(0, new RegistryClient.Listener() {
            @Override
            public void changed(boolean full, List<KeyChange> changes, Map<String, KeyEntry> all) {
                fulls += full ? 1 : 0;
                told.addAll(changes);
            }

            @Override
            public void stale(boolean now) {
                stale.add(now);
            }
        });
        client.start();
        run(300 * MS);
    }

    final void put(String key, String value) {
        store.put(PREFIX + key, value);
        news();
    }

    final void delete(String key) {
        store.delete(PREFIX + key);
        news();
    }

    final void news() {
        members.forEach(RegistryStandIn::storeChanged);
    }

    final String known(String key) {
        KeyEntry entry = client.follower().entries().get(PREFIX + key);
        return entry == null ? null : entry.value();
    }

    /** Everything that the registry has is known, and nothing else. */
    final void same() {
        assertEquals(
                store.range(PREFIX, END, store.revision()).stream()
                        .map(each -> new KeyEntry(each.key(), each.value(), each.createRevision(), each.modRevision()))
                        .toList(),
                List.copyOf(client.follower().entries().values()));
    }

    /** Of one key, each value was told once, in the order of their revisions. */
    final void once() {
        Map<String, Long> newest = new HashMap<>();
        for (KeyChange each : told) {
            Long before = newest.put(each.key(), each.modified());
            assertTrue(before == null || before < each.modified(), each + " was told after revision " + before);
        }
    }

    final void down(boolean now) {
        for (int i = 0; i < MEMBERS; i++) {
            members.get(i).setDown(now, hosts.get(i).address(PORT));
        }
    }

    @Test
    void whatIsThereIsToldAndThenWhatChanges() throws Exception {
        put("nodos/a", "1");
        store.put("elsewhere/b", "2");
        follow();
        assertEquals("1", known("nodos/a"));
        put("nodos/a", "3");
        run(200 * MS);
        delete("nodos/a");
        put("nodos/c", "4");
        run(200 * MS);
        assertEquals(
                List.of("1", "3", "null", "4"),
                told.stream().map(each -> String.valueOf(each.value())).toList());
        same();
        once();
        assertEquals(1, client.follower().entries().size());
    }

    @Test
    void anEmptyRegistryIsAState() throws Exception {
        follow();
        assertTrue(client.follower().revision() >= 0);
        put("nodos/a", "1");
        run(200 * MS);
        same();
    }

    @Test
    void aDrainThatComesWhileTheConnectionIsDownIsToldSoonAfterItIsBack() throws Exception {
        put("nodos/a", "ready");
        follow();
        for (int round = 0; round < 20; round++) {
            down(true);
            run(200 * MS + round * 700 * MS);
            store.put(PREFIX + "nodos/a", "drain " + round);
            assertFalse(("drain " + round).equals(known("nodos/a")));
            down(false);
            run(BOUND);
            assertEquals("drain " + round, known("nodos/a"), "round " + round + ", " + lines);
        }
        once();
        assertEquals(1, fulls + (kind() == RegistrySettings.Kind.ETCD ? 0 : 1 - fulls), "the rest were changes");
    }

    @Test
    void whatHasBeenCompactedMeanwhileIsReadAnewAndWhatIsLackingIsGone() throws Exception {
        put("nodos/a", "1");
        put("nodos/b", "2");
        follow();
        down(true);
        run(SECOND);
        delete("nodos/a");
        for (int i = 0; i < 10; i++) {
            put("nodos/c", "v" + i);
        }
        store.compact(store.revision());
        down(false);
        run(2 * SECOND);
        same();
        once();
        assertTrue(told.stream().anyMatch(each -> each.key().equals(PREFIX + "nodos/a") && each.value() == null));
    }

    @Test
    void aKeyThatIsDeletedAndMadeAgainIsAnotherOne() throws Exception {
        put("nodos/a", "1");
        follow();
        delete("nodos/a");
        put("nodos/a", "1");
        run(300 * MS);
        same();
        once();
        assertEquals(
                store.revision(),
                client.follower().entries().get(PREFIX + "nodos/a").created());
    }

    @Test
    void aMemberThatLagsIsNotBelieved() throws Exception {
        put("nodos/a", "1");
        follow();
        put("nodos/a", "2");
        run(300 * MS);
        members.forEach(each -> each.setLag(1));
        members.forEach(RegistryStandIn::closeConnections);
        run(10 * SECOND);
        assertEquals("2", known("nodos/a"), "it never goes back");
        put("nodos/a", "3");
        members.forEach(each -> each.setLag(0));
        run(10 * SECOND);
        same();
        once();
    }

    @Test
    void aBackupThatIsRestoredIsReadWhole() throws Exception {
        put("nodos/a", "1");
        KeyValueStore backup = store.backup();
        follow();
        put("nodos/a", "2");
        put("nodos/b", "3");
        run(300 * MS);
        store = backup.backup();
        members.forEach(RegistryStandIn::closeConnections);
        run(10 * SECOND);
        same();
        assertEquals("1", known("nodos/a"));
        put("nodos/a", "4");
        run(SECOND);
        same();
    }

    @Test
    void aCallThatIsSilentIsGivenUpAndTheStateStays() throws Exception {
        put("nodos/a", "1");
        follow();
        int connected =
                (int) members.stream().filter(each -> each.connections() > 0).count();
        assertEquals(1, connected);
        RegistryStandIn mute = members.stream()
                .filter(each -> each.connections() > 0)
                .findFirst()
                .orElseThrow();
        mute.setSilent(true);
        put("nodos/a", "2");
        run(500 * MS);
        assertEquals("1", known("nodos/a"));
        run(8 * SECOND);
        assertEquals("2", known("nodos/a"), "another member has told it: " + lines);
        assertTrue(lines.stream().anyMatch(each -> each.contains("nothing came for 6 s")), lines.toString());
        assertTrue(stale.isEmpty());
    }

    @Test
    void whereNobodyAnswersTheStateIsStaleAndStays() throws Exception {
        put("nodos/a", "1");
        follow();
        down(true);
        run(20 * SECOND);
        assertEquals(List.of(true), stale);
        assertEquals("1", known("nodos/a"));
        assertEquals(Follower.State.RESUMING, client.follower().state());
        down(false);
        run(5 * SECOND); // a read that waits says so only at its end
        assertEquals(List.of(true, false), stale);
        same();
    }

    @Test
    void tenThousandKeysAtOnce() throws Exception {
        follow();
        Map<String, String> all = new TreeMap<>();
        for (int i = 0; i < 10_000; i++) {
            all.put(PREFIX + "nodos/" + i, "{\"weight\":" + i + "}");
        }
        store.commit(all);
        news();
        run(3 * SECOND);
        same();
        all.replaceAll((key, value) -> value + " ");
        store.commit(all);
        news();
        run(3 * SECOND);
        same();
        once();
        members.forEach(RegistryStandIn::closeConnections);
        store.compact(store.revision());
        run(3 * SECOND);
        same();
    }

    /** Staff hear of it from the registry; here nothing may be lost or invented by what comes in one heap, and late. */
    @Test
    void aSlowWatcherIsToldAllInTheEndAndNothingTwice() throws Exception {
        put("nodos/a", "0");
        follow();
        members.forEach(each -> each.setNotifyDelay(3_000));
        for (int i = 1; i <= 40; i++) {
            put("nodos/a", "v" + i);
            put("nodos/" + i % 3, "v" + i);
            run(100 * MS);
        }
        assertFalse("v40".equals(known("nodos/a")));
        run(4 * SECOND);
        same();
        once();
        assertTrue(stale.isEmpty(), "late is not silent: " + lines);
        members.forEach(each -> each.setNotifyDelay(0));
        put("nodos/a", "last");
        run(200 * MS);
        same();
        once();
    }

    @Test
    void moreKeysThanAreKeptLeaveTheOldState() throws Exception {
        put("nodos/a", "1");
        follow();
        Map<String, String> all = new TreeMap<>();
        for (int i = 0; i <= 20_000; i++) {
            all.put(PREFIX + "nodos/" + i, "");
        }
        store.commit(all);
        news();
        run(20 * SECOND);
        assertEquals(1, client.follower().entries().size());
        assertTrue(lines.stream().anyMatch(each -> each.contains("20000 keys")), lines.toString());
        assertEquals(List.of(true), stale);
    }

    @Test
    void membersThatFailAtRandomLoseNoChange() throws Exception {
        for (int seed = 0; seed < 12; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RegistryContract world = getClass().getDeclaredConstructor().newInstance();
            world.set();
            world.follow();
            for (int step = 0; step < 150; step++) {
                world.put("nodos/" + random.nextInt(6), "v" + step);
                if (random.nextInt(4) == 0) {
                    world.delete("nodos/" + random.nextInt(6));
                }
                int member = random.nextInt(MEMBERS);
                switch (random.nextInt(8)) {
                    case 0 -> world.members.get(member).closeConnections();
                    case 1 -> world.members.get(member).setDown(true, null);
                    case 2 -> {
                        world.members.get(member).setDown(true, null);
                        world.members
                                .get(member)
                                .setDown(false, world.hosts.get(member).address(PORT));
                    }
                    case 3 -> world.store.compact(world.store.revision() - random.nextInt(5));
                    case 4 -> world.members.get(member).setSilent(random.nextBoolean());
                    case 5 -> world.members.get(member).setLag(random.nextInt(3));
                    default -> {}
                }
                world.run(random.nextLong(400 * MS));
                world.once();
            }
            for (int i = 0; i < MEMBERS; i++) {
                world.members.get(i).setSilent(false);
                world.members.get(i).setLag(0);
                world.members.get(i).setDown(true, null);
                world.members.get(i).setDown(false, world.hosts.get(i).address(PORT));
            }
            world.run(20 * SECOND);
            world.same();
            world.once();
        }
    }

    @Test
    void aRegistryWithTooMuchToDoIsAskedMoreSeldom() throws Exception {
        members.forEach(each -> each.setOverloaded(true));
        follow();
        run(20 * SECOND);
        int before = calls();
        run(20 * SECOND);
        assertTrue(calls() - before < 24, "calls in 20 s: " + (calls() - before));
        members.forEach(each -> each.setOverloaded(false));
        put("nodos/a", "1");
        run(5 * SECOND);
        same();
    }

    private int calls() {
        return members.stream().mapToInt(RegistryStandIn::calls).sum();
    }

    /** All agents lose the registry together, and it comes back. */
    @Test
    void agentsThatComeBackTogetherAreSpread() throws Exception {
        put("nodos/a", "1");
        List<RegistryClient> agents = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            agents.add(follow(i, (full, changes, all) -> {}));
            agents.get(i).start();
        }
        run(5 * SECOND);
        down(true);
        run(20 * SECOND);
        put("nodos/a", "2");
        down(false);
        int most = 0;
        int before = calls();
        int first = before;
        for (int tenth = 0; tenth < 30; tenth++) {
            run(100 * MS);
            most = Math.max(most, calls() - before);
            before = calls();
        }
        for (RegistryClient each : agents) {
            assertEquals("2", each.follower().entries().get(PREFIX + "nodos/a").value());
        }
        // 100 agents over a second, and with Consul a watch behind each read.
        assertTrue(most < 40, "the most in a tenth of a second: " + most);
        assertTrue(calls() - first <= 350, "in all " + (calls() - first));
    }

    /** In the members' place, listeners that answer whatever comes with the same bytes. */
    final List<Channel> liars(String answer) {
        List<Channel> liars = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            liars.add(new ServerBootstrap()
                    .group(hosts.get(i).loop())
                    .channelFactory(hosts.get(i).listeners())
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel ch) {
                            ch.pipeline().addLast(new ChannelInboundHandlerAdapter() {
                                @Override
                                public void channelRead(ChannelHandlerContext ctx, Object bytes) {
                                    ReferenceCountUtil.release(bytes);
                                    ctx.writeAndFlush(Unpooled.wrappedBuffer(answer.getBytes()));
                                }
                            });
                        }
                    })
                    .bind(hosts.get(i).address(PORT))
                    .channel());
        }
        return liars;
    }

    @Test
    void whatIsNoAnswerIsNotBelieved() throws Exception {
        put("nodos/a", "1");
        follow();
        down(true);
        List<Channel> liars = liars("HTTP/1.1 200 OK\r\nX-Consul-Index: 99\r\nContent-Length: 4\r\n\r\n[{]]");
        run(5 * SECOND);
        assertEquals("1", known("nodos/a"));
        for (Channel each : liars) {
            each.close();
        }
        run(100 * MS);
        put("nodos/a", "2");
        down(false);
        run(3 * SECOND);
        same();
    }

    @Test
    void nothingIsOpenOnceItIsClosed() throws Exception {
        put("nodos/a", "1");
        follow();
        client.close();
        run(SECOND);
        assertEquals(0, members.stream().mapToInt(RegistryStandIn::connections).sum());
        put("nodos/a", "2");
        run(20 * SECOND);
        assertEquals("1", known("nodos/a"));
    }
}
