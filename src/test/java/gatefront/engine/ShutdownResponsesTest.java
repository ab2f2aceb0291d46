package gatefront.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gatefront.budget.ResourceAccount;
import gatefront.budget.ResourceBudget;
import gatefront.budget.ResourcePurpose;
import gatefront.budget.StreamWindow;
import gatefront.rehearsal.net.Network;
import gatefront.rehearsal.net.VirtualHost;
import gatefront.rehearsal.net.VirtualTime;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what is held of late responses in a shutdown, and which one is decided on. Uses virtual time. */
class ShutdownResponsesTest {
    private static final long MS = 1_000_000;
    private static final int KIB = 1 << 10;
    /** When the responses have to be complete. */
    private static final long END_MS = 2_000;

    private final VirtualTime time = new VirtualTime();
    private final List<String> events = new ArrayList<>();
    private VirtualHost host;
    private ResourceAccount account;
    private ShutdownResponses responses;

    /** A streamed response as an upstream hands it over. */
    private record StreamedResponse(BodyStream bodyStream, long bodyLength) implements Payload {}

    /** Takes what is passed on and counts it. */
    private final class CountingConsumer implements BodyStream.Consumer {
        private final String name;
        private final BodyStream stream;
        private long bytes;

        CountingConsumer(String name, BodyStream stream) {
            this.name = name;
            this.stream = stream;
        }

        @Override
        public void onChunk(ByteBuf chunk) {
            int size = chunk.readableBytes();
            bytes += size;
            chunk.release();
            stream.chunkWritten(size);
        }

        @Override
        public void onComplete() {
            events.add(name + " complete with " + bytes);
        }

        @Override
        public void onAbort() {
            events.add(name + " aborted");
        }
    }

    @BeforeEach
    void setUp() throws Exception {
        host = new Network(time, 0, (from, to, bytes) -> MS)
                .host("agent", InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0, 1 << 24, line -> {});
        withCap(64 << 20);
    }

    private void withCap(long bytes) {
        account = new ResourceBudget(1 << 30, Map.of(ResourcePurpose.SERVER_ANSWERS, new ResourceBudget.Cap(-1, bytes)))
                .account(ResourcePurpose.SERVER_ANSWERS);
        responses = new ShutdownResponses(host, account);
        responses.begin(host.nanos(), host.nanos() + END_MS * MS);
    }

    private BodyStream hold(String name, long length) {
        BodyStream stream = new BodyStream(new PassiveProducer(host::nanos), new StreamWindow(account));
        responses.hold(
                new StreamedResponse(stream, length),
                () -> {
                    events.add(name + " passed on");
                    stream.attach(new CountingConsumer(name, stream));
                },
                () -> events.add(name + " given up"));
        return stream;
    }

    private static void write(BodyStream stream, int bytes) {
        stream.write(Unpooled.buffer(bytes).writeZero(bytes));
    }

    private void advance(long millis) {
        time.run(time.nanoTime() + millis * MS);
    }

    @Test
    void completeResponseIsPassedOnWholeAndNothingIsHeldAnyMore() {
        BodyStream stream = hold("a", -1);
        for (int i = 0; i < 10; i++) {
            write(stream, 50 * KIB);
            advance(100);
        }
        assertEquals(500 * KIB, account.bytes());
        assertEquals(List.of(), events);
        stream.complete();
        assertEquals(List.of("a passed on", "a complete with " + 500 * KIB), events);
        assertEquals(0, account.bytes());
    }

    @Test
    void responseThatBreaksIsNotPassedOnAndNothingIsHeldAnyMore() {
        BodyStream stream = hold("a", 640 * KIB);
        write(stream, 100 * KIB);
        stream.abort();
        assertEquals(List.of(), events);
        assertEquals(0, account.bytes());
    }

    /** Guards against a client that waits for a refusal for as long as the response would take. */
    @Test
    void responseThatWillBeTooLateIsGivenUpAtOnce() {
        BodyStream stream = hold("a", 1_280 * KIB);
        for (int i = 0; i < 5; i++) {
            assertEquals(List.of(), events);
            write(stream, 16 * KIB);
            advance(50);
        }
        assertEquals(List.of("a given up"), events);
    }

    /** Guards against responses that take the memory of the process. */
    @Test
    void oneResponseHoldsNoMoreThanItsLimit() {
        BodyStream slow = hold("slow", -1);
        BodyStream fast = hold("fast", 32 << 20);
        write(fast, 512 * KIB);
        advance(2);
        write(fast, 448 * KIB);
        assertEquals(List.of(), events);
        write(fast, 64 * KIB);
        assertEquals(List.of("fast passed on"), events);
        for (int i = 0; i < 15; i++) {
            write(slow, 64 * KIB);
            advance(40);
        }
        assertEquals(List.of("fast passed on"), events);
        write(slow, 64 * KIB);
        assertEquals(List.of("fast passed on", "slow given up"), events);
    }

    /** Guards against refusing the response that happens to arrive while memory is short, in place of an older one. */
    @Test
    void longestHeldResponseIsDecidedOnWhenMemoryIsShort() {
        withCap(1_024 * KIB);
        BodyStream old = hold("old", -1);
        write(old, 300 * KIB);
        advance(200);
        BodyStream young = hold("young", -1);
        write(young, 100 * KIB);
        advance(150);
        assertEquals(List.of(), events);
        write(young, 120 * KIB);
        assertEquals(List.of("old given up"), events);
        old.abort(); // as its attempt does when it is cancelled
        write(young, 120 * KIB);
        young.complete();
        assertEquals(List.of("old given up", "young passed on", "young complete with " + 340 * KIB), events);
        assertEquals(0, account.bytes());
    }
}
