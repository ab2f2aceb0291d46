package gatefront.thrift;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.LoadReportParser;
import gatefront.connection.PooledUpstream;
import gatefront.engine.Payload;
import gatefront.membership.Endpoint;
import gatefront.policy.Balancer.Outcome;
import gatefront.thrift.codec.MessageDecoder;
import gatefront.thrift.codec.MessageEncoder;
import gatefront.thrift.codec.MessageHeader;
import gatefront.thrift.codec.MessageLimits;
import gatefront.thrift.codec.StructReader;
import gatefront.thrift.codec.StructWriter;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.thrift.codec.ThriftMessage;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import java.net.InetSocketAddress;

/**
 * Sends attempts and probes to servers over Thrift, one at a time on each connection, and classifies the replies.
 *
 * <p>The declared exception Refused means that nothing was executed. Failed means that the call may have been executed.
 * Any other result, including the method's other exceptions, is the server's response and is forwarded to the client
 * unchanged. A TApplicationException that rejects the call itself is forwarded as well, and the call is not retried.
 * No TApplicationException proves that nothing was executed, because a handler may pass on one it received from another
 * service.
 */
public final class ThriftUpstream extends PooledUpstream {
    private final ThriftSettings settings;
    private final LoadReportParser loadReportParser;
    private final Payload probe;

    /** Creates an upstream with at most {@code maxConnections} connections. */
    public ThriftUpstream(
            Transport transport, Config config, ThriftSettings settings, int maxConnections, ResourceBudget budget) {
        super(transport, maxConnections, config.connectTimeoutMicros(), config.idleCloseMicros(), budget);
        this.settings = settings;
        this.loadReportParser = new LoadReportParser(config.loadFields());
        this.probe = new ThriftCall(
                new ThriftMessage(
                        ThriftEncoding.BINARY,
                        new MessageHeader(ThriftConventions.HEALTH, MessageHeader.Type.CALL, 0),
                        new StructWriter(ThriftEncoding.BINARY).end()),
                -1,
                0);
    }

    @Override
    protected InetSocketAddress address(Endpoint endpoint) {
        return new InetSocketAddress(endpoint.address().getAddress(), settings.serverPort());
    }

    @Override
    protected void initPipeline(Connection connection, ChannelPipeline pipeline) {
        MessageDecoder decoder = new MessageDecoder(MessageLimits.DEFAULT);
        pipeline.addLast(decoder, new ReplyReader(connection, decoder));
    }

    @Override
    protected Payload probe() {
        return probe;
    }

    @Override
    protected Object requestMessage(Payload payload, int number, long millisLeft) {
        ThriftCall call = (ThriftCall) payload;
        MessageHeader header = new MessageHeader(
                call.message().header().name(), call.message().header().type(), number);
        byte[] body = call.bodyWithTimeout(millisLeft);
        ByteBuf out = Unpooled.buffer(body.length + 64);
        MessageEncoder.write(new ThriftMessage(call.message().encoding(), header, body), settings.serversFramed(), out);
        return out;
    }

    /** A oneway call has no reply and counts as successful once it has been written. */
    @Override
    protected void onRequestSent(Attempt attempt) {
        if (((ThriftCall) attempt.request()).message().header().type() == MessageHeader.Type.ONEWAY) {
            attempt.end(new Result(Outcome.OK, NO_LOAD, attempt.request(), null), true);
        }
    }

    private final class ReplyReader extends Reader {
        private final MessageDecoder decoder;

        ReplyReader(Connection connection, MessageDecoder decoder) {
            super(connection);
            this.decoder = decoder;
        }

        @Override
        protected boolean read(Attempt attempt, Object read) {
            if (!(read instanceof ThriftMessage reply) || !matches(reply, attempt)) {
                return false;
            }
            attempt.end(result(reply, attempt), !decoder.hasUnreadBytes());
            return true;
        }

        /** Counts what has arrived of an incomplete reply; one that there is no memory for fails its attempt. */
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            release();
            if (decoder.hasUnreadBytes() && !reserve(decoder.unreadBytes())) {
                ctx.close();
            }
        }
    }

    /** Returns whether a reply belongs to the attempt; rejects the reply to another call if a server mixes them up. */
    private static boolean matches(ThriftMessage reply, Attempt attempt) {
        ThriftMessage call = ((ThriftCall) attempt.request()).message();
        MessageHeader.Type type = reply.header().type();
        String name = reply.header().name();
        boolean sameName = name.equals(call.header().name())
                || name.equals(withoutServiceName(call.header().name()));
        return reply.header().seqid() == attempt.number()
                && reply.encoding().hasSameBodyFormat(call.encoding())
                && (type == MessageHeader.Type.EXCEPTION || type == MessageHeader.Type.REPLY && sameName);
    }

    /** Returns the method name alone, which is what a multiplexed server replies with. */
    private static String withoutServiceName(String name) {
        return name.substring(name.indexOf(':') + 1);
    }

    private Result result(ThriftMessage reply, Attempt attempt) {
        if (reply.header().type() == MessageHeader.Type.EXCEPTION) {
            return exceptionResult(reply);
        }
        boolean isProbe = attempt.request() == probe;
        Outcome outcome = Outcome.OK;
        String loadReport = null;
        StructReader fields = new StructReader(reply.encoding(), reply.body());
        while (fields.next()) {
            if (isProbe && fields.id() == ThriftConventions.SUCCESS && fields.isStruct()) {
                StructReader health = fields.struct();
                outcome = Outcome.ERROR;
                while (health.next()) {
                    if (health.id() == ThriftConventions.READY && Boolean.TRUE.equals(health.bool())) {
                        outcome = Outcome.OK;
                    } else if (health.id() == ThriftConventions.HEALTH_LOAD) {
                        loadReport = health.string();
                    }
                }
            } else if (fields.id() == ThriftConventions.REFUSED && fields.isStruct()) {
                outcome = Outcome.FULL;
            } else if (fields.id() == ThriftConventions.FAILED && fields.isStruct()) {
                outcome = Outcome.ERROR;
            } else if (fields.id() == ThriftConventions.LOAD) {
                loadReport = fields.string();
            }
        }
        return new Result(
                outcome,
                loadReportParser.parse(loadReport),
                outcome == Outcome.OK ? new ThriftReply(reply) : null,
                null);
    }

    private static Result exceptionResult(ThriftMessage reply) {
        long type = 0;
        StructReader fields = new StructReader(reply.encoding(), reply.body());
        while (fields.next()) {
            if (fields.id() == ThriftConventions.APPLICATION_TYPE) {
                Long value = fields.number();
                type = value == null ? 0 : value;
            }
        }
        boolean rejectsCall = type == ThriftConventions.UNKNOWN_METHOD
                || type == ThriftConventions.INVALID_MESSAGE_TYPE
                || type >= ThriftConventions.PROTOCOL_ERROR && type <= ThriftConventions.UNSUPPORTED_CLIENT_TYPE;
        return new Result(Outcome.ERROR, NO_LOAD, null, rejectsCall ? new ThriftReply(reply) : null);
    }
}
