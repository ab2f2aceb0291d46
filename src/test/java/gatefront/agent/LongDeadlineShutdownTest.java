package gatefront.agent;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are still open when the agent is killed: the longest deadline counts as 3 s at most. */
@Timeout(60)
class LongDeadlineShutdownTest {
    /** When an agent may be killed after it was told to end, however long its deadlines are. */
    private static final long KILL_MS = 3_700;

    @ParameterizedTest
    @ValueSource(longs = {100, 1_000, 1_700})
    void requestOfAServerThatHangsIsAnsweredBeforeTheKill(long sentAfterMs) throws Exception {
        try (AgentFixture fixture = new AgentFixture()) {
            fixture.server((message, socket) -> {
                if (message.target().startsWith("/order")) {
                    TimeUnit.HOURS.sleep(1);
                }
                ScriptedPeer.respond(socket, 200, "", "served");
            });
            fixture.start();
            Socket client = fixture.dial();
            AgentFixture.exchange(client, fixture.request("lookup", 8_000, ""));
            long stopNanos = System.nanoTime();
            fixture.agent.startShutdown();
            TimeUnit.MILLISECONDS.sleep(sentAfterMs);
            int status = AgentFixture.exchange(client, fixture.request("order", 8_000, "body"))
                    .status();
            long afterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stopNanos);
            assertTrue(afterMs <= KILL_MS, status + " came " + afterMs + " ms after the agent was told to end");
        }
    }
}
