package gatefront.silence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how long a server may be silent in a response, by what is known of it. */
class ResponseSilenceTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final ServerRecord server = new ServerRecord();
    private final ResponseSilence silence = new ResponseSilence(server, 0);

    /** Has the server be heard on other connections, twice a second. */
    private void serverActive(long fromSeconds, long toSeconds) {
        for (long halves = 2 * fromSeconds; halves <= 2 * toSeconds; halves++) {
            server.heard(halves * SECOND_NANOS / 2);
        }
    }

    /** Returns after which whole second the response is no longer waited for. */
    private static long secondsUntilOver(ResponseSilence response, long fromSeconds) {
        long seconds = fromSeconds;
        while (!response.isOver(seconds * SECOND_NANOS + 1)) {
            seconds++;
        }
        return seconds;
    }

    @Test
    void serverThatIsSilentAsAWholeIsWaitedForTheLongest() {
        assertFalse(silence.isStalled(4 * SECOND_NANOS));
        assertTrue(silence.isStalled(4 * SECOND_NANOS + 1));
        assertEquals(30, secondsUntilOver(silence, 0));
    }

    @Test
    void eachSilenceCountsByItself() {
        silence.received(29 * SECOND_NANOS);
        assertFalse(silence.isStalled(33 * SECOND_NANOS));
        assertEquals(59, secondsUntilOver(silence, 29));
    }

    @Test
    void timeInWhichTheResponseIsNotReadIsNoSilence() {
        silence.notRead(10 * SECOND_NANOS);
        assertFalse(silence.isStalled(14 * SECOND_NANOS));
        assertEquals(40, secondsUntilOver(silence, 10));
    }

    @Test
    void serverThatHasRestartedIsNotWaitedFor() {
        silence.serverRestarted();
        assertEquals(4, secondsUntilOver(silence, 0));
    }

    @Test
    void activeServerIsWaitedForLess() {
        serverActive(0, 10);
        assertFalse(silence.isOver(10 * SECOND_NANOS));
        server.heard(10 * SECOND_NANOS + SECOND_NANOS / 2);
        assertTrue(silence.isOver(11 * SECOND_NANOS));
    }

    /** After a silence of the server as a whole its responses may take a while to go on. */
    @Test
    void activityCountsFromTheEndOfTheServersOwnSilence() {
        serverActive(10, 20);
        assertFalse(silence.isOver(20 * SECOND_NANOS));
        server.heard(20 * SECOND_NANOS + SECOND_NANOS / 2);
        assertTrue(silence.isOver(21 * SECOND_NANOS));
    }

    @Test
    void signsOfLifeFarApartAreNoActivity() {
        for (long second = 0; second < 30; second += 3) {
            server.heard(second * SECOND_NANOS);
        }
        assertEquals(30, secondsUntilOver(silence, 0));
    }

    /** Guards against taking a response that pauses for a hung one, because another one of its server hangs. */
    @Test
    void activeServerIsWaitedForBesideAFewUnfinishedResponses() {
        server.didNotGoOn(SECOND_NANOS);
        server.didNotGoOn(SECOND_NANOS);
        serverActive(0, 9);
        assertFalse(silence.isOver(9 * SECOND_NANOS));
    }

    /** Guards against long waits for each response of a server that leaves all of them unfinished. */
    @Test
    void activeServerThatLeavesResponsesUnfinishedIsNotWaitedForUntilItGoesOn() {
        for (int i = 0; i < ServerRecord.MAX_UNFINISHED; i++) {
            server.didNotGoOn(SECOND_NANOS);
        }
        ResponseSilence another = new ResponseSilence(server, 0);
        serverActive(0, 5);
        assertTrue(silence.isOver(5 * SECOND_NANOS));
        another.received(6 * SECOND_NANOS);
        serverActive(6, 15);
        assertFalse(another.isOver(15 * SECOND_NANOS), "it has gone on with a stalled response");
    }

    @Test
    void silenceAsAWholeIsWaitedOutWhateverTheRecord() {
        for (int i = 0; i < ServerRecord.MAX_UNFINISHED; i++) {
            server.didNotGoOn(0);
        }
        assertEquals(30, secondsUntilOver(silence, 0));
    }

    @Test
    void unfinishedResponsesAreForgotten() {
        for (int i = 0; i < ServerRecord.MAX_UNFINISHED; i++) {
            server.didNotGoOn(0);
        }
        assertFalse(server.isTrusted(60 * SECOND_NANOS));
        assertTrue(server.isTrusted(60 * SECOND_NANOS + 1));
        server.didNotGoOn(61 * SECOND_NANOS);
        assertTrue(server.isTrusted(61 * SECOND_NANOS), "the count has begun anew");
    }
}
