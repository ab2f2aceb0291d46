package gatefront.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.net.Network;
import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.net.VirtualTime;
import gatefront.silence.ResponseSilence;
import gatefront.silence.ServerRecord;
import gatefront.transport.Transport;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests which responses of silent servers are ended, and when, on virtual time. */
class StreamedResponsesTest {
    private static final long CHECK_MS = 250;

    private final VirtualTime time = new VirtualTime();
    private final List<String> ended = new ArrayList<>();
    private VirtualHost host;
    /** How far the clock has jumped because the process was suspended. */
    private long suspendedNanos;

    private StreamedResponses responses;

    /** A response without connections, which ends when it is told to. */
    private final class FakeResponse implements StreamedResponses.Response {
        private final String name;
        private final long server;
        private final ResponseSilence silence;
        private boolean isPaused;
        private boolean hasUnreadInput;
        private boolean isWanted = true;
        private int stallReports;

        FakeResponse(String name, long server, ServerRecord record) {
            this.name = name;
            this.server = server;
            this.silence = new ResponseSilence(record, responses.nowNanos());
            responses.add(this);
        }

        @Override
        public long server() {
            return server;
        }

        @Override
        public ResponseSilence silence() {
            return silence;
        }

        @Override
        public boolean isOlderThan(long serverStartedAtMicros) {
            return serverStartedAtMicros > 0;
        }

        @Override
        public boolean isPaused() {
            return isPaused;
        }

        @Override
        public void readArrived() {
            if (hasUnreadInput) {
                hasUnreadInput = false;
                silence.received(responses.nowNanos());
            }
        }

        @Override
        public boolean reportStall() {
            stallReports++;
            return isWanted;
        }

        @Override
        public void abort(String reason) {
            ended.add(name);
            responses.remove(this);
        }
    }

    @BeforeEach
    void setUp() throws Exception {
        Network network = new Network(time, 0, (from, to, bytes) -> 1);
        host = network.host("agent", InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0, 1 << 24, line -> {});
        Transport transport = (Transport) Proxy.newProxyInstance(
                Transport.class.getClassLoader(),
                new Class<?>[] {Transport.class},
                (proxy, method, details) -> method.getName().equals("nanos")
                        ? host.nanos() + suspendedNanos
                        : method.invoke(host, details));
        responses = new StreamedResponses(transport);
    }

    private void advanceMillis(long millis) {
        time.run(time.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private FakeResponse response(String name) {
        return new FakeResponse(name, 1, new ServerRecord());
    }

    @Test
    void silentResponseIsReportedWhileItIsWaitedForAndEndsAtTheLimit() {
        FakeResponse response = response("a");
        advanceMillis(4_000);
        assertEquals(0, response.stallReports);
        advanceMillis(2 * CHECK_MS);
        assertTrue(response.stallReports > 0);
        advanceMillis(25_000);
        assertEquals(List.of(), ended);
        advanceMillis(1_000);
        assertEquals(List.of("a"), ended);
    }

    /** Guards against blaming a server for input that has arrived while the loop was busy. */
    @Test
    void responseWithUnreadInputIsNotReported() {
        FakeResponse response = response("a");
        advanceMillis(3_900);
        response.hasUnreadInput = true;
        advanceMillis(2 * CHECK_MS);
        assertEquals(0, response.stallReports);
        advanceMillis(4_000 + CHECK_MS);
        assertTrue(response.stallReports > 0, "it counts from the input");
    }

    @Test
    void responseThatIsNoLongerWantedEndsWhenItIsStalled() {
        response("a").isWanted = false;
        advanceMillis(4_000 + 2 * CHECK_MS);
        assertEquals(List.of("a"), ended);
    }

    /** Guards against ending a response in a moment in which its client does not take it. */
    @Test
    void pausedResponseIsNotSilent() {
        FakeResponse response = response("a");
        response.isPaused = true;
        advanceMillis(60_000);
        response.isPaused = false;
        advanceMillis(4_000);
        assertEquals(0, response.stallReports);
        assertFalse(responses.endLongestStalled("test"));
    }

    @Test
    void longestStalledResponseGivesWayFirst() {
        FakeResponse first = response("first");
        advanceMillis(1_000);
        response("second");
        advanceMillis(1_000);
        response("third");
        advanceMillis(3_500);
        first.hasUnreadInput = true;
        assertTrue(responses.endLongestStalled("test"));
        assertEquals(List.of("second"), ended, "the first one has input, the third one is not stalled");
        assertFalse(responses.endLongestStalled("test"));
    }

    @Test
    void responseThatHasReceivedLastGivesWayLast() {
        FakeResponse first = response("first");
        response("second");
        advanceMillis(1_000);
        first.silence.received(responses.nowNanos());
        advanceMillis(5_500);
        assertTrue(responses.endLongestStalled("test"));
        assertTrue(responses.endLongestStalled("test"));
        assertEquals(List.of("second", "first"), ended);
    }

    @Test
    void stalledResponsesEndWhenTheTimeToWaitIsOver() {
        response("a");
        advanceMillis(5_000);
        response("b");
        advanceMillis(2_000);
        assertEquals(List.of(), ended);
        responses.stopWaiting();
        assertEquals(List.of("a"), ended);
        advanceMillis(1_900);
        assertEquals(List.of("a"), ended);
        advanceMillis(100 + 2 * CHECK_MS);
        assertEquals(List.of("a", "b"), ended);
    }

    @Test
    void listedRestartEndsTheStalledResponsesOfThatServer() {
        response("a");
        new FakeResponse("b", 2, new ServerRecord());
        responses.serverListed(1, 0);
        advanceMillis(5_000);
        assertEquals(List.of(), ended);
        responses.serverListed(1, 1);
        advanceMillis(CHECK_MS);
        assertEquals(List.of("a"), ended);
    }

    /** Guards against taking the full queue of a server that is back after a silence for a lack of connections. */
    @Test
    void serverThatTurnsRequestsAwayEndsOnlyResponsesThatStayedSilentWhileItWasActive() {
        ServerRecord record = new ServerRecord();
        new FakeResponse("a", 1, record);
        new FakeResponse("b", 2, record);
        advanceMillis(6_000);
        record.heard(responses.nowNanos());
        responses.serverTurnedAway(1);
        assertEquals(List.of(), ended);
        for (int i = 0; i < 5; i++) {
            advanceMillis(1_000);
            record.heard(responses.nowNanos());
        }
        responses.serverTurnedAway(1);
        responses.serverTurnedAway(1);
        assertEquals(List.of("a"), ended);
    }

    /** Guards against blaming servers for the time in which this process, and perhaps they too, were suspended. */
    @Test
    void timeInWhichTheProcessWasSuspendedIsNoSilence() {
        FakeResponse response = response("a");
        advanceMillis(1_000);
        suspendedNanos = TimeUnit.SECONDS.toNanos(40);
        advanceMillis(2 * CHECK_MS);
        assertEquals(0, response.stallReports);
        assertEquals(List.of(), ended);
    }
}
