package gatefront.thrift;

import gatefront.budget.ResourceBudget;
import gatefront.config.Config;
import gatefront.connection.PooledUpstream;
import gatefront.connection.UpstreamContract;
import gatefront.engine.Payload;
import gatefront.thrift.codec.MessageDecoder;
import gatefront.thrift.codec.MessageEncoder;
import gatefront.thrift.codec.MessageFormat;
import gatefront.thrift.codec.MessageHeader;
import gatefront.thrift.codec.MessageLimits;
import gatefront.thrift.codec.StructWriter;
import gatefront.thrift.codec.ThriftEncoding;
import gatefront.thrift.codec.ThriftMessage;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Nested;

/** Runs the upstream contract over Thrift in each message format. */
class ThriftUpstreamTest {
    private abstract static class WithFormat extends UpstreamContract {
        private final MessageFormat format;

        WithFormat(boolean framed, ThriftEncoding encoding) {
            format = new MessageFormat(framed, encoding);
        }

        @Override
        protected PooledUpstream createUpstream(Transport transport, int port) {
            return new ThriftUpstream(
                    transport,
                    Config.read(Path.of("src/test/resources/config.json")),
                    new ThriftSettings(null, null, port, format.framed(), true, Map.of()),
                    50,
                    new ResourceBudget(1 << 24, Map.of()));
        }

        @Override
        protected Payload newRequest() {
            byte[] arguments =
                    new StructWriter(format.encoding()).string(2, "cuerpo").end();
            return new ThriftCall(
                    new ThriftMessage(
                            format.encoding(), new MessageHeader("order", MessageHeader.Type.CALL, 5), arguments),
                    -1,
                    0);
        }

        @Override
        protected void addServerDecoder(ChannelPipeline pipeline) {
            pipeline.addLast(new MessageDecoder(MessageLimits.DEFAULT));
        }

        @Override
        protected byte[] responseBytes(Object read) {
            ThriftMessage call = (ThriftMessage) read;
            byte[] result = call.header().name().equals(ThriftConventions.HEALTH)
                    ? ErrorResults.health(call.encoding(), true)
                    : new StructWriter(call.encoding()).string(0, "hecho").end();
            ByteBuf out = Unpooled.buffer();
            MessageEncoder.write(
                    new ThriftMessage(
                            call.encoding(),
                            new MessageHeader(
                                    call.header().name(),
                                    MessageHeader.Type.REPLY,
                                    call.header().seqid()),
                            result),
                    format.framed(),
                    out);
            return ByteBufUtil.getBytes(out);
        }
    }

    @Nested
    class FramedBinary extends WithFormat {
        FramedBinary() {
            super(true, ThriftEncoding.BINARY);
        }
    }

    @Nested
    class FramedCompact extends WithFormat {
        FramedCompact() {
            super(true, ThriftEncoding.COMPACT);
        }
    }

    @Nested
    class UnframedBinary extends WithFormat {
        UnframedBinary() {
            super(false, ThriftEncoding.BINARY);
        }
    }

    @Nested
    class UnframedCompact extends WithFormat {
        UnframedCompact() {
            super(false, ThriftEncoding.COMPACT);
        }
    }
}
