package gatefront.rehearsal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gatefront.rehearsal.check.RuleChecker.Breach;
import gatefront.rehearsal.check.RuleChecker.Rule;
import gatefront.rehearsal.net.TamperingTransport;
import gatefront.rehearsal.plan.PlanReader;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Verifies that the rehearsal detects faults: agents with faulty sockets break the expected rule. */
class FaultyFrontendTest {
    private static final int PADRON_PORTS = 8500;

    private static ChannelHandler passThrough() {
        return new ChannelInboundHandlerAdapter();
    }

    private static Breach firstBreach(RehearsalResult result, Rule rule, String description) {
        return result.breaches().stream()
                .filter(breach -> breach.rule() == rule && breach.description().contains(description))
                .findFirst()
                .orElseThrow(() -> new AssertionError("rule not broken: "
                        + result.breaches().stream().limit(3).toList()));
    }

    private static RehearsalResult run(
            double seconds, Supplier<ChannelHandler> acceptedHandler, Supplier<ChannelHandler> dialedHandler)
            throws Exception {
        return new Rehearsal(PlanReader.builtIn("calm").withSeconds(seconds), 1)
                .wrapTransport(delegate -> new TamperingTransport(delegate, acceptedHandler, dialedHandler))
                .run();
    }

    /** Replaces the body of every hundredth response. */
    private abstract static class TamperedResponses extends ChannelDuplexHandler {
        private final int[] count;

        TamperedResponses(int[] count) {
            this.count = count;
        }

        abstract Object replacement(ByteBuf response);

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            boolean served = message instanceof ByteBuf bytes
                    && bytes.readableBytes() > 100
                    && bytes.toString(StandardCharsets.US_ASCII).startsWith("nodo-");
            Object written = served && ++count[0] % 100 == 0 ? replacement((ByteBuf) message) : message;
            if (written == null) {
                ReferenceCountUtil.release(message);
                promise.setSuccess();
            } else {
                ctx.write(written, promise);
            }
        }
    }

    @Test
    void suppressedResponseIsDetected() throws Exception {
        int[] count = {0};
        RehearsalResult result = run(
                6,
                () -> new TamperedResponses(count) {
                    @Override
                    Object replacement(ByteBuf answer) {
                        return null;
                    }
                },
                FaultyFrontendTest::passThrough);
        Breach breach = firstBreach(result, Rule.ONE_ANSWER, "no final answer in its time");
        assertTrue(breach.history().stream().anyMatch(line -> line.contains("effect at")), breach.toString());
    }

    @Test
    void corruptedResponseIsDetected() throws Exception {
        int[] count = {0};
        RehearsalResult result = run(
                6,
                () -> new TamperedResponses(count) {
                    @Override
                    Object replacement(ByteBuf answer) {
                        byte[] bytes = ByteBufUtil.getBytes(answer);
                        bytes[bytes.length - 1] ^= 1;
                        answer.release();
                        return Unpooled.wrappedBuffer(bytes);
                    }
                },
                FaultyFrontendTest::passThrough);
        firstBreach(result, Rule.ONE_ANSWER, "served with what no nodo made");
    }

    @Test
    void truncatedResponseIsDetected() throws Exception {
        int[] count = {0};
        RehearsalResult result = run(
                6,
                () -> new TamperedResponses(count) {
                    private boolean cut;

                    @Override
                    Object replacement(ByteBuf answer) {
                        cut = true;
                        ByteBuf half = answer.copy(0, answer.readableBytes() / 2);
                        answer.release();
                        return half;
                    }

                    @Override
                    public void flush(ChannelHandlerContext ctx) {
                        ctx.flush();
                        if (cut) {
                            ctx.close();
                        }
                    }
                },
                FaultyFrontendTest::passThrough);
        firstBreach(result, Rule.ONE_ANSWER, "lost");
    }

    /** Responses of the padrón are read two seconds late, so that the agent goes on sending after it was told. */
    @Test
    void serverListReadTooLateBreaksTheDrainRule() throws Exception {
        RehearsalResult result = run(25, FaultyFrontendTest::passThrough, () -> new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                if (((InetSocketAddress) ctx.channel().remoteAddress()).getPort() >= PADRON_PORTS) {
                    ctx.executor()
                            .schedule(
                                    () -> {
                                        ctx.fireChannelRead(message);
                                        ctx.fireChannelReadComplete();
                                    },
                                    2,
                                    TimeUnit.SECONDS);
                } else {
                    ctx.fireChannelRead(message);
                }
            }
        });
        assertTrue(firstBreach(result, Rule.DRAINS_KEPT, "was told that it drains or is gone")
                .description()
                .startsWith("sent to nodo-3"));
    }
}
