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

/** The kit can fail: agents whose sockets do wrong are caught, each by the rule that is broken. */
class FaultyFrontendTest {
    private static final int PADRON_PORTS = 8500;

    private static ChannelHandler nothing() {
        return new ChannelInboundHandlerAdapter();
    }

    private static Breach first(RehearsalResult outcome, Rule rule, String what) {
        return outcome.breaches().stream()
                .filter(each -> each.rule() == rule && each.what().contains(what))
                .findFirst()
                .orElseThrow(() -> new AssertionError(
                        "not caught: " + outcome.breaches().stream().limit(3).toList()));
    }

    private static RehearsalResult play(
            double seconds, Supplier<ChannelHandler> accepted, Supplier<ChannelHandler> dialled) throws Exception {
        return new Rehearsal(PlanReader.builtIn("calm").withSeconds(seconds), 1)
                .outside(right -> new TamperingTransport(right, accepted, dialled))
                .play();
    }

    /** Does something else with the body of every hundredth answer. */
    private abstract static class Answers extends ChannelDuplexHandler {
        private final int[] count;

        Answers(int[] count) {
            this.count = count;
        }

        abstract Object instead(ByteBuf answer);

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            boolean served = message instanceof ByteBuf bytes
                    && bytes.readableBytes() > 100
                    && bytes.toString(StandardCharsets.US_ASCII).startsWith("nodo-");
            Object other = served && ++count[0] % 100 == 0 ? instead((ByteBuf) message) : message;
            if (other == null) {
                ReferenceCountUtil.release(message);
                promise.setSuccess();
            } else {
                ctx.write(other, promise);
            }
        }
    }

    @Test
    void anAnswerThatNeverLeavesIsCaught() throws Exception {
        int[] count = {0};
        RehearsalResult outcome = play(
                6,
                () -> new Answers(count) {
                    @Override
                    Object instead(ByteBuf answer) {
                        return null;
                    }
                },
                FaultyFrontendTest::nothing);
        Breach breach = first(outcome, Rule.ONE_ANSWER, "no final answer in its time");
        assertTrue(breach.history().stream().anyMatch(line -> line.contains("effect at")), breach.toString());
    }

    @Test
    void anAnswerThatIsChangedOnItsWayIsCaught() throws Exception {
        int[] count = {0};
        RehearsalResult outcome = play(
                6,
                () -> new Answers(count) {
                    @Override
                    Object instead(ByteBuf answer) {
                        byte[] bytes = ByteBufUtil.getBytes(answer);
                        bytes[bytes.length - 1] ^= 1;
                        answer.release();
                        return Unpooled.wrappedBuffer(bytes);
                    }
                },
                FaultyFrontendTest::nothing);
        first(outcome, Rule.ONE_ANSWER, "served with what no nodo made");
    }

    @Test
    void anAnswerCutOffWithItsConnectionIsCaught() throws Exception {
        int[] count = {0};
        RehearsalResult outcome = play(
                6,
                () -> new Answers(count) {
                    private boolean cut;

                    @Override
                    Object instead(ByteBuf answer) {
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
                FaultyFrontendTest::nothing);
        first(outcome, Rule.ONE_ANSWER, "lost");
    }

    /** News of the padrón lies unread for two seconds: the agent was told, and goes on sending. */
    @Test
    void newsThatAreReadTooLateBreakTheRuleOnDrains() throws Exception {
        RehearsalResult outcome = play(25, FaultyFrontendTest::nothing, () -> new ChannelInboundHandlerAdapter() {
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
        assertTrue(first(outcome, Rule.DRAINS_KEPT, "was told that it drains or is gone")
                .what()
                .startsWith("sent to nodo-3"));
    }
}
