package gatefront.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.drill.FrameBuilder.Reply;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the simulator adapter: replies to frames, and error messages for malformed input. */
class DrillTest {
    private static final int SEND = 16;
    private static final int LOG = 24;

    private static List<Reply> withCode(List<Reply> replies, int code) {
        return replies.stream().filter(r -> r.code() == code).toList();
    }

    private static String failure(FrameBuilder frames) {
        return assertThrows(WireException.class, frames::run).getMessage();
    }

    @Test
    void emptyFrameGetsAnEmptyReply() throws IOException {
        assertEquals(
                List.of(List.of(), List.of()),
                new FrameBuilder().frame(1).frame(2).run());
    }

    @Test
    void requestIsSentToAListedServerAndCompletedByItsOutcome() throws IOException {
        var replies = new FrameBuilder()
                .spawn(3)
                .list(0, 0x91f03b7cL)
                .announce(3, 0, 2)
                .frame(1000)
                .submit(3, 77, 5_000_000)
                .frame(2000)
                .finished(3, 77, 0x91f03b7cL, 200, 2)
                .frame(3000)
                .run();
        List<Reply> sends = withCode(replies.get(1), SEND);
        assertEquals(1, sends.size());
        assertEquals(3, sends.get(0).instance());
        assertEquals(77, sends.get(0).fields().getLong());
        assertEquals(0x91f03b7c, sends.get(0).fields().getInt());
        int timeout = sends.get(0).fields().getInt();
        assertTrue(timeout > 0 && timeout <= 1_000_000, "timeout " + timeout);
        assertTrue(withCode(replies.get(2), SEND).isEmpty());
    }

    @Test
    void restartWithinOneFrameDiscardsTheServerList() throws IOException {
        var replies = new FrameBuilder()
                .spawn(3)
                .list(0, 5)
                .announce(3, 0, 2)
                .record(19, out -> out.writeShort(3))
                .spawn(3)
                .submit(3, 1, 5_000_000)
                .frame(1000)
                .run();
        assertTrue(withCode(replies.get(0), SEND).isEmpty());
    }

    @Test
    void reusedListNumberInOneFrameIsResolvedInOrder() throws IOException {
        var replies = new FrameBuilder()
                .spawn(1)
                .spawn(2)
                .list(0, 5)
                .announce(1, 0, 2)
                .list(0, 6)
                .announce(2, 0, 2)
                .submit(1, 1, 5_000_000)
                .submit(2, 2, 5_000_000)
                .frame(1000)
                .run();
        List<Reply> sends = withCode(replies.get(0), SEND);
        sends.forEach(s -> s.fields().getLong());
        assertEquals(List.of(5, 6), sends.stream().map(s -> s.fields().getInt()).toList());
    }

    @Test
    void exceptionInTheModuleIsReportedAsInstanceFailure() throws IOException {
        var replies = new FrameBuilder()
                .spawn(1)
                .record(20, out -> {
                    out.writeShort(1);
                    out.writeLong(9);
                    out.writeLong(0);
                    out.writeByte(0);
                    out.writeLong(5_000_000);
                    out.writeByte(200); // no such class
                    out.writeShort(0);
                    out.writeInt(0);
                })
                .frame(1000)
                .run();
        assertEquals(1, withCode(replies.get(0), 25).size());
    }

    @Test
    void serverStateChangeIsLogged() throws IOException {
        var replies = new FrameBuilder()
                .spawn(1)
                .list(0, 5)
                .announce(1, 0, 3)
                .list(1)
                .announce(1, 1, 3)
                .frame(1000)
                .run();
        assertEquals(1, withCode(replies.get(0), LOG).size());
    }

    // ---- malformed input ----

    @Test
    void truncatedLengthIsReported() {
        assertEquals("frame 1: input ends inside the length", failure(new FrameBuilder().raw(new byte[] {0, 0})));
    }

    @Test
    void truncatedFrameIsReported() {
        assertEquals(
                "frame 2: input ends inside the frame",
                failure(new FrameBuilder().frame(1).raw(new byte[] {0, 0, 0, 12, 0})));
    }

    @Test
    void impossibleFrameLengthIsReported() {
        assertEquals(
                "frame 1: length 4294967295 is not within 12 to 134217728",
                failure(new FrameBuilder().raw(new byte[] {-1, -1, -1, -1})));
    }

    /** Guards against allocating two gigabytes for a frame that merely declares this length. */
    @Test
    void oversizedFrameIsReportedAndNotAllocated() {
        assertEquals(
                "frame 1: length 1879048192 is not within 12 to 134217728",
                failure(new FrameBuilder().raw(new byte[] {0x70, 0, 0, 0})));
    }

    @Test
    void recordShorterThanItsFieldsIsReported() {
        assertEquals(
                "frame 1 record 2 (code 20): too short for its fields",
                failure(new FrameBuilder()
                        .spawn(1)
                        .record(20, out -> out.writeShort(1))
                        .frame(1)));
    }

    @Test
    void recordLongerThanItsFieldsIsReported() {
        assertEquals(
                "frame 1 record 2 (code 26): 1 bytes after the last field",
                failure(new FrameBuilder()
                        .spawn(1)
                        .record(26, out -> {
                            out.writeShort(1);
                            out.writeLong(0);
                            out.writeByte(0);
                        })
                        .frame(1)));
    }

    @Test
    void recordBeyondItsFrameIsReported() {
        assertTrue(failure(new FrameBuilder().raw(FrameBuilder.bytes(out -> {
                    out.writeInt(17);
                    out.writeInt(1);
                    out.writeLong(0);
                    out.writeByte(19);
                    out.writeInt(100);
                })))
                .startsWith("frame 1 record 1 (code 19): size 100 exceeds the 0 bytes left in the frame"));
    }

    @Test
    void unknownCodesInstancesListsAndOutcomesAreReported() {
        assertEquals(
                "frame 1 record 2 (code 99): unknown code",
                failure(new FrameBuilder()
                        .spawn(1)
                        .record(99, out -> out.writeShort(1))
                        .frame(1)));
        assertEquals(
                "frame 1 record 1 (code 20): instance 4 has not been started",
                failure(new FrameBuilder().submit(4, 1, 1).frame(1)));
        assertEquals(
                "frame 1 record 2 (code 21): list 2 has not been defined",
                failure(new FrameBuilder().spawn(1).announce(1, 2, 3).frame(1)));
        assertEquals(
                "frame 1 record 2 (code 22): unknown outcome 999",
                failure(new FrameBuilder().spawn(1).finished(1, 1, 1, 999, 0).frame(1)));
    }

    // ---- settings ----

    @ParameterizedTest
    @ValueSource(strings = {"caps.max-attempts", "classes.0.semantics", "discovery", "granularity-us", "me"})
    void missingSettingIsReported(String key) {
        String without = FrameBuilder.SETTINGS.replaceAll("(?m)^" + key.replace(".", "\\.") + "=.*\n", "");
        assertEquals(
                "settings: " + key + " is missing",
                failure(new FrameBuilder().spawn(1, without).frame(1)));
    }

    @Test
    void unusableSettingIsReported() {
        String invalidSettings = FrameBuilder.SETTINGS.replace("semantics=safe", "semantics=perhaps");
        assertEquals(
                "settings: classes.0.semantics has an unusable value: perhaps",
                failure(new FrameBuilder().spawn(1, invalidSettings).frame(1)));
        String letters = FrameBuilder.SETTINGS.replace("group-size=2", "group-size=two");
        assertEquals(
                "settings: group-size has an unusable value: two",
                failure(new FrameBuilder().spawn(1, letters).frame(1)));
    }

    /** Guards against accepting these values, which would only show later as a failed decision or a stack trace. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "group-size=0",
                "granularity-us=0",
                "caps.max-attempts=-1",
                "locality=7",
                "me=-1",
                "classes.0.aim-us=0",
                "group-size=Infinity"
            })
    void settingOutOfRangeIsReported(String pair) {
        String key = pair.substring(0, pair.indexOf('='));
        String invalidSettings =
                FrameBuilder.SETTINGS.replaceAll("(?m)^" + key.replace(".", "\\.") + "=.*\n", pair + "\n");
        assertEquals(
                "settings: " + key + " has an unusable value: " + pair.substring(key.length() + 1),
                failure(new FrameBuilder().spawn(1, invalidSettings).frame(1)));
    }

    @Test
    void unknownSettingsAreIgnored() throws IOException {
        assertEquals(
                1,
                new FrameBuilder()
                        .spawn(1, FrameBuilder.SETTINGS + "new.thing=1\n")
                        .frame(1)
                        .run()
                        .size());
    }

    @Test
    void unknownLoadValuesAreIgnored() throws IOException {
        String settings = FrameBuilder.SETTINGS + "load-info.via=answers\nload-info.fields=depth,shoe_size\n";
        assertEquals(1, new FrameBuilder().spawn(1, settings).frame(1).run().size());
    }
}
