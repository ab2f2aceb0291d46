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
import io.netty.channel.ChannelPipeline;
import java.net.InetSocketAddress;

/**
 * The servers over Thrift: a call a connection at a time, and what its reply says of it.
 *
 * <p>What a reply proves. The declared exception Refused: nothing ran. Failed: nothing is promised. Any other result,
 * an exception of the method's own too, is the server's answer and goes to the caller as it is. Of the
 * TApplicationExceptions those that find fault with the call go to the caller as well, and the call is sent nowhere
 * else; none is taken as proof that nothing ran, for a handler that calls other services passes on theirs.
 */
public final class ThriftUpstream extends PooledUpstream {
    private final ThriftSettings settings;
    private final LoadReportParser load;
    private final Payload probe;

    /** Holds so many connections at the most. */
    public ThriftUpstream(
            Transport transport, Config config, ThriftSettings settings, int connectionsMost, ResourceBudget budget) {
        super(transport, connectionsMost, config.connectTimeoutMicros(), config.idleCloseMicros(), budget);
        this.settings = settings;
        this.load = new LoadReportParser(config.loadFields());
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
        MessageDecoder decoder = new MessageDecoder(MessageLimits.USUAL);
        pipeline.addLast(decoder, new Replies(connection, decoder));
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
        byte[] body = call.body(millisLeft);
        ByteBuf out = Unpooled.buffer(body.length + 64);
        MessageEncoder.write(new ThriftMessage(call.message().encoding(), header, body), settings.framedServers(), out);
        return out;
    }

    /** A call that gets no reply has been served, as far as anyone will know, when it has left. */
    @Override
    protected void onRequestSent(Attempt attempt) {
        if (((ThriftCall) attempt.request()).message().header().type() == MessageHeader.Type.ONEWAY) {
            attempt.end(new Result(Outcome.OK, NO_LOAD, attempt.request(), null), true);
        }
    }

    private final class Replies extends Reader {
        private final MessageDecoder decoder;

        Replies(Connection connection, MessageDecoder decoder) {
            super(connection);
            this.decoder = decoder;
        }

        @Override
        protected boolean read(Attempt attempt, Object read) {
            if (!(read instanceof ThriftMessage reply) || !answers(reply, attempt)) {
                return false;
            }
            attempt.end(result(reply, attempt), !decoder.leftover());
            return true;
        }
    }

    /** Guards against the reply to another call, where a server mixes them up. */
    private static boolean answers(ThriftMessage reply, Attempt attempt) {
        ThriftMessage call = ((ThriftCall) attempt.request()).message();
        MessageHeader.Type type = reply.header().type();
        String name = reply.header().name();
        boolean named = name.equals(call.header().name())
                || name.equals(unqualified(call.header().name()));
        return reply.header().seqid() == attempt.number()
                && reply.encoding().sameBody(call.encoding())
                && (type == MessageHeader.Type.EXCEPTION || type == MessageHeader.Type.REPLY && named);
    }

    /** A server that serves several services replies with the method's name alone. */
    private static String unqualified(String name) {
        return name.substring(name.indexOf(':') + 1);
    }

    private Result result(ThriftMessage reply, Attempt attempt) {
        if (reply.header().type() == MessageHeader.Type.EXCEPTION) {
            return exception(reply);
        }
        boolean probing = attempt.request() == probe;
        Outcome outcome = Outcome.OK;
        String report = null;
        StructReader fields = new StructReader(reply.encoding(), reply.body());
        while (fields.next()) {
            if (probing && fields.id() == ThriftConventions.SUCCESS && fields.isStruct()) {
                StructReader health = fields.struct();
                outcome = Outcome.ERROR;
                while (health.next()) {
                    if (health.id() == ThriftConventions.READY && Boolean.TRUE.equals(health.bool())) {
                        outcome = Outcome.OK;
                    } else if (health.id() == ThriftConventions.HEALTH_LOAD) {
                        report = health.string();
                    }
                }
            } else if (fields.id() == ThriftConventions.REFUSED && fields.isStruct()) {
                outcome = Outcome.FULL;
            } else if (fields.id() == ThriftConventions.FAILED && fields.isStruct()) {
                outcome = Outcome.ERROR;
            } else if (fields.id() == ThriftConventions.LOAD) {
                report = fields.string();
            }
        }
        return new Result(outcome, load.parse(report), outcome == Outcome.OK ? new ThriftReply(reply) : null, null);
    }

    private static Result exception(ThriftMessage reply) {
        long type = 0;
        StructReader fields = new StructReader(reply.encoding(), reply.body());
        while (fields.next()) {
            if (fields.id() == ThriftConventions.APPLICATION_TYPE) {
                Long said = fields.number();
                type = said == null ? 0 : said;
            }
        }
        boolean blamesCall = type == ThriftConventions.UNKNOWN_METHOD
                || type == ThriftConventions.INVALID_MESSAGE_TYPE
                || type >= ThriftConventions.PROTOCOL_ERROR && type <= ThriftConventions.UNSUPPORTED_CLIENT_TYPE;
        return new Result(Outcome.ERROR, NO_LOAD, null, blamesCall ? new ThriftReply(reply) : null);
    }
}
