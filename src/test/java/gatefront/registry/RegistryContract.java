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

/**
 * Tests that hold for both kinds of registries, mostly of their failures. Uses virtual time; the one-way network delay
 * is 5 ms.
 */
abstract class RegistryContract {
    static final long MS = 1_000_000;
    static final long SECOND = 1_000 * MS;
    static final String PREFIX = "oaxaca/";
    private static final String PREFIX_END = KeyValueStore.prefixEnd(PREFIX);
    private static final int MEMBERS = 3;
    private static final int PORT = 2379;
    /**
     * The time within which a change is reported after a connection is possible again: the longest backoff, a connect
     * and two round trips.
     */
    private static final long RECOVERY_BOUND = 1_000 * MS + 100 * MS;

    final VirtualTime time = new VirtualTime();
    final Network network = new Network(time, 0, (from, to, bytes) -> 5 * MS);
    KeyValueStore store = new KeyValueStore(7);
    final List<RegistryStandIn> members = new ArrayList<>();
    private final List<VirtualHost> hosts = new ArrayList<>();
    final List<String> logLines = new ArrayList<>();
    final List<KeyChange> reported = new ArrayList<>();
    private final List<Boolean> staleEvents = new ArrayList<>();
    private int fullReads;
    RegistryClient client;

    abstract RegistrySettings.Kind kind();

    abstract RegistryStandIn createMember(VirtualHost host);

    FollowerLimits limits() {
        boolean etcd = kind() == RegistrySettings.Kind.ETCD;
        return new FollowerLimits(
                50_000, 1_000_000, etcd ? 0 : 60_000, etcd ? 2_000_000 : 0, 6_000_000, 15_000_000, 600_000_000, 20_000);
    }

    RegistrySettings settings() {
        return RegistrySettings.of(kind(), addresses(), PREFIX, limits());
    }

    final List<InetSocketAddress> addresses() {
        return hosts.stream().limit(MEMBERS).map(host -> host.address(PORT)).toList();
    }

    final VirtualHost host(String name, int thirdAddressByte, int lastAddressByte) throws Exception {
        return network.host(
                name,
                InetAddress.getByAddress(new byte[] {127, 0, (byte) thirdAddressByte, (byte) lastAddressByte}),
                0,
                1 << 26,
                logLines::add);
    }

    @BeforeEach
    void startMembers() throws Exception {
        for (int i = 0; i < MEMBERS; i++) {
            hosts.add(host("registry-" + i, 2, 2 + i));
            members.add(createMember(hosts.get(i)));
            members.get(i).listen(hosts.get(i).address(PORT));
        }
        advance(0);
    }

    final void advance(long nanos) {
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
                fullReads += full ? 1 : 0;
                reported.addAll(changes);
            }

            @Override
            public void staleChanged(boolean isStale) {
                staleEvents.add(isStale);
            }
        });
        client.start();
        advance(300 * MS);
    }

    final void put(String key, String value) {
        store.put(PREFIX + key, value);
        notifyMembers();
    }

    final void delete(String key) {
        store.delete(PREFIX + key);
        notifyMembers();
    }

    final void notifyMembers() {
        members.forEach(RegistryStandIn::storeChanged);
    }

    final String knownValue(String key) {
        KeyEntry entry = client.follower().entries().get(PREFIX + key);
        return entry == null ? null : entry.value();
    }

    /** Asserts that the entries are exactly those of the registry. */
    final void assertSameAsStore() {
        assertEquals(
                store.range(PREFIX, PREFIX_END, store.revision()).stream()
                        .map(entry ->
                                new KeyEntry(entry.key(), entry.value(), entry.createRevision(), entry.modRevision()))
                        .toList(),
                List.copyOf(client.follower().entries().values()));
    }

    /** Asserts that each value of a key was reported once, in the order of the revisions. */
    final void assertReportedOnceInOrder() {
        Map<String, Long> newest = new HashMap<>();
        for (KeyChange change : reported) {
            Long previous = newest.put(change.key(), change.modRevision());
            assertTrue(
                    previous == null || previous < change.modRevision(),
                    change + " was reported after revision " + previous);
        }
    }

    final void setMembersDown(boolean isDown) {
        for (int i = 0; i < MEMBERS; i++) {
            members.get(i).setDown(isDown, hosts.get(i).address(PORT));
        }
    }

    @Test
    void existingKeysAndLaterChangesAreReported() throws Exception {
        put("nodos/a", "1");
        store.put("elsewhere/b", "2");
        follow();
        assertEquals("1", knownValue("nodos/a"));
        put("nodos/a", "3");
        advance(200 * MS);
        delete("nodos/a");
        put("nodos/c", "4");
        advance(200 * MS);
        assertEquals(
                List.of("1", "3", "null", "4"),
                reported.stream().map(change -> String.valueOf(change.value())).toList());
        assertSameAsStore();
        assertReportedOnceInOrder();
        assertEquals(1, client.follower().entries().size());
    }

    @Test
    void emptyRegistryIsAValidState() throws Exception {
        follow();
        assertTrue(client.follower().revision() >= 0);
        put("nodos/a", "1");
        advance(200 * MS);
        assertSameAsStore();
    }

    @Test
    void drainDuringADisconnectionIsReportedSoonAfterReconnect() throws Exception {
        put("nodos/a", "ready");
        follow();
        for (int round = 0; round < 20; round++) {
            setMembersDown(true);
            advance(200 * MS + round * 700 * MS);
            store.put(PREFIX + "nodos/a", "drain " + round);
            assertFalse(("drain " + round).equals(knownValue("nodos/a")));
            setMembersDown(false);
            advance(RECOVERY_BOUND);
            assertEquals("drain " + round, knownValue("nodos/a"), "round " + round + ", " + logLines);
        }
        assertReportedOnceInOrder();
        assertEquals(
                1,
                fullReads + (kind() == RegistrySettings.Kind.ETCD ? 0 : 1 - fullReads),
                "all later updates were changes");
    }

    @Test
    void compactionDuringADisconnectionCausesAFullReadThatRemovesDeletedKeys() throws Exception {
        put("nodos/a", "1");
        put("nodos/b", "2");
        follow();
        setMembersDown(true);
        advance(SECOND);
        delete("nodos/a");
        for (int i = 0; i < 10; i++) {
            put("nodos/c", "v" + i);
        }
        store.compact(store.revision());
        setMembersDown(false);
        advance(2 * SECOND);
        assertSameAsStore();
        assertReportedOnceInOrder();
        assertTrue(reported.stream()
                .anyMatch(change -> change.key().equals(PREFIX + "nodos/a") && change.value() == null));
    }

    @Test
    void recreatedKeyHasANewCreateRevision() throws Exception {
        put("nodos/a", "1");
        follow();
        delete("nodos/a");
        put("nodos/a", "1");
        advance(300 * MS);
        assertSameAsStore();
        assertReportedOnceInOrder();
        assertEquals(
                store.revision(),
                client.follower().entries().get(PREFIX + "nodos/a").createRevision());
    }

    @Test
    void laggingMemberIsNotTrusted() throws Exception {
        put("nodos/a", "1");
        follow();
        put("nodos/a", "2");
        advance(300 * MS);
        members.forEach(member -> member.setLag(1));
        members.forEach(RegistryStandIn::closeConnections);
        advance(10 * SECOND);
        assertEquals("2", knownValue("nodos/a"), "the value never goes back");
        put("nodos/a", "3");
        members.forEach(member -> member.setLag(0));
        advance(10 * SECOND);
        assertSameAsStore();
        assertReportedOnceInOrder();
    }

    @Test
    void restoredBackupIsReadInFull() throws Exception {
        put("nodos/a", "1");
        KeyValueStore backup = store.backup();
        follow();
        put("nodos/a", "2");
        put("nodos/b", "3");
        advance(300 * MS);
        store = backup.backup();
        members.forEach(RegistryStandIn::closeConnections);
        advance(10 * SECOND);
        assertSameAsStore();
        assertEquals("1", knownValue("nodos/a"));
        put("nodos/a", "4");
        advance(SECOND);
        assertSameAsStore();
    }

    @Test
    void silentCallIsAbandonedAndTheStateIsKept() throws Exception {
        put("nodos/a", "1");
        follow();
        int connected = (int)
                members.stream().filter(member -> member.connections() > 0).count();
        assertEquals(1, connected);
        RegistryStandIn silentMember = members.stream()
                .filter(member -> member.connections() > 0)
                .findFirst()
                .orElseThrow();
        silentMember.setSilent(true);
        put("nodos/a", "2");
        advance(500 * MS);
        assertEquals("1", knownValue("nodos/a"));
        advance(8 * SECOND);
        assertEquals("2", knownValue("nodos/a"), "another member has reported it: " + logLines);
        assertTrue(logLines.stream().anyMatch(line -> line.contains("nothing came for 6 s")), logLines.toString());
        assertTrue(staleEvents.isEmpty());
    }

    @Test
    void stateBecomesStaleAndIsKeptWhenNoMemberResponds() throws Exception {
        put("nodos/a", "1");
        follow();
        setMembersDown(true);
        advance(20 * SECOND);
        assertEquals(List.of(true), staleEvents);
        assertEquals("1", knownValue("nodos/a"));
        assertEquals(Follower.State.RESUMING, client.follower().state());
        setMembersDown(false);
        // A blocking query confirms the entries only when it ends.
        advance(5 * SECOND);
        assertEquals(List.of(true, false), staleEvents);
        assertSameAsStore();
    }

    @Test
    void tenThousandKeysInOneRevision() throws Exception {
        follow();
        Map<String, String> all = new TreeMap<>();
        for (int i = 0; i < 10_000; i++) {
            all.put(PREFIX + "nodos/" + i, "{\"weight\":" + i + "}");
        }
        store.commit(all);
        notifyMembers();
        advance(3 * SECOND);
        assertSameAsStore();
        all.replaceAll((key, value) -> value + " ");
        store.commit(all);
        notifyMembers();
        advance(3 * SECOND);
        assertSameAsStore();
        assertReportedOnceInOrder();
        members.forEach(RegistryStandIn::closeConnections);
        store.compact(store.revision());
        advance(3 * SECOND);
        assertSameAsStore();
    }

    /** Changes that arrive late and many at a time must neither be lost nor repeated. */
    @Test
    void slowWatcherReceivesEveryChangeOnce() throws Exception {
        put("nodos/a", "0");
        follow();
        members.forEach(member -> member.setNotifyDelay(3_000));
        for (int i = 1; i <= 40; i++) {
            put("nodos/a", "v" + i);
            put("nodos/" + i % 3, "v" + i);
            advance(100 * MS);
        }
        assertFalse("v40".equals(knownValue("nodos/a")));
        advance(4 * SECOND);
        assertSameAsStore();
        assertReportedOnceInOrder();
        assertTrue(staleEvents.isEmpty(), "a slow member is not silent: " + logLines);
        members.forEach(member -> member.setNotifyDelay(0));
        put("nodos/a", "last");
        advance(200 * MS);
        assertSameAsStore();
        assertReportedOnceInOrder();
    }

    @Test
    void tooManyKeysLeaveTheOldState() throws Exception {
        put("nodos/a", "1");
        follow();
        Map<String, String> all = new TreeMap<>();
        for (int i = 0; i <= 20_000; i++) {
            all.put(PREFIX + "nodos/" + i, "");
        }
        store.commit(all);
        notifyMembers();
        advance(20 * SECOND);
        assertEquals(1, client.follower().entries().size());
        assertTrue(logLines.stream().anyMatch(line -> line.contains("20000 keys")), logLines.toString());
        assertEquals(List.of(true), staleEvents);
    }

    @Test
    void randomMemberFailuresLoseNoChange() throws Exception {
        for (int seed = 0; seed < 12; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            RegistryContract contract = getClass().getDeclaredConstructor().newInstance();
            contract.startMembers();
            contract.follow();
            for (int step = 0; step < 150; step++) {
                contract.put("nodos/" + random.nextInt(6), "v" + step);
                if (random.nextInt(4) == 0) {
                    contract.delete("nodos/" + random.nextInt(6));
                }
                int member = random.nextInt(MEMBERS);
                switch (random.nextInt(8)) {
                    case 0 -> contract.members.get(member).closeConnections();
                    case 1 -> contract.members.get(member).setDown(true, null);
                    case 2 -> {
                        contract.members.get(member).setDown(true, null);
                        contract.members
                                .get(member)
                                .setDown(false, contract.hosts.get(member).address(PORT));
                    }
                    case 3 -> contract.store.compact(contract.store.revision() - random.nextInt(5));
                    case 4 -> contract.members.get(member).setSilent(random.nextBoolean());
                    case 5 -> contract.members.get(member).setLag(random.nextInt(3));
                    default -> {}
                }
                contract.advance(random.nextLong(400 * MS));
                contract.assertReportedOnceInOrder();
            }
            for (int i = 0; i < MEMBERS; i++) {
                contract.members.get(i).setSilent(false);
                contract.members.get(i).setLag(0);
                contract.members.get(i).setDown(true, null);
                contract.members.get(i).setDown(false, contract.hosts.get(i).address(PORT));
            }
            contract.advance(20 * SECOND);
            contract.assertSameAsStore();
            contract.assertReportedOnceInOrder();
        }
    }

    @Test
    void overloadedRegistryIsCalledLessOften() throws Exception {
        members.forEach(member -> member.setOverloaded(true));
        follow();
        advance(20 * SECOND);
        int before = memberCalls();
        advance(20 * SECOND);
        assertTrue(memberCalls() - before < 24, "calls in 20 s: " + (memberCalls() - before));
        members.forEach(member -> member.setOverloaded(false));
        put("nodos/a", "1");
        advance(5 * SECOND);
        assertSameAsStore();
    }

    private int memberCalls() {
        return members.stream().mapToInt(RegistryStandIn::calls).sum();
    }

    /** All agents lose the registry at the same time and reconnect when it is back. */
    @Test
    void reconnectingAgentsAreSpreadOverTime() throws Exception {
        put("nodos/a", "1");
        List<RegistryClient> agents = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            agents.add(follow(i, (full, changes, all) -> {}));
            agents.get(i).start();
        }
        advance(5 * SECOND);
        setMembersDown(true);
        advance(20 * SECOND);
        put("nodos/a", "2");
        setMembersDown(false);
        int busiest = 0;
        int before = memberCalls();
        int initial = before;
        for (int tenth = 0; tenth < 30; tenth++) {
            advance(100 * MS);
            busiest = Math.max(busiest, memberCalls() - before);
            before = memberCalls();
        }
        for (RegistryClient agent : agents) {
            assertEquals("2", agent.follower().entries().get(PREFIX + "nodos/a").value());
        }
        // The reconnects of 100 agents are spread over a second; with Consul, a blocking query follows each read.
        assertTrue(busiest < 40, "maximum of calls in a tenth of a second: " + busiest);
        assertTrue(memberCalls() - initial <= 350, "calls in total: " + (memberCalls() - initial));
    }

    /** Starts listeners at the addresses of the members that send the same bytes in response to anything. */
    final List<Channel> startListenersAnswering(String answer) {
        List<Channel> listeners = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            listeners.add(new ServerBootstrap()
                    .group(hosts.get(i).loop())
                    .channelFactory(hosts.get(i).serverChannels())
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
        return listeners;
    }

    @Test
    void malformedResponseIsRejected() throws Exception {
        put("nodos/a", "1");
        follow();
        setMembersDown(true);
        List<Channel> listeners =
                startListenersAnswering("HTTP/1.1 200 OK\r\nX-Consul-Index: 99\r\nContent-Length: 4\r\n\r\n[{]]");
        advance(5 * SECOND);
        assertEquals("1", knownValue("nodos/a"));
        for (Channel listener : listeners) {
            listener.close();
        }
        advance(100 * MS);
        put("nodos/a", "2");
        setMembersDown(false);
        advance(3 * SECOND);
        assertSameAsStore();
    }

    @Test
    void closedClientHasNoConnections() throws Exception {
        put("nodos/a", "1");
        follow();
        client.close();
        advance(SECOND);
        assertEquals(0, members.stream().mapToInt(RegistryStandIn::connections).sum());
        put("nodos/a", "2");
        advance(20 * SECOND);
        assertEquals("1", knownValue("nodos/a"));
    }
}
