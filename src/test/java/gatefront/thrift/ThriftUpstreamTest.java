package gatefront.thrift;

import gatefront.budget.Budget;
import gatefront.config.Config;
import gatefront.connection.PooledUpstream;
import gatefront.connection.UpstreamContract;
import gatefront.engine.Payload;
import gatefront.thrift.codec.Encoding;
import gatefront.thrift.codec.Form;
import gatefront.thrift.codec.Header;
import gatefront.thrift.codec.Limits;
import gatefront.thrift.codec.Message;
import gatefront.thrift.codec.MessageDecoder;
import gatefront.thrift.codec.MessageEncoder;
import gatefront.thrift.codec.StructWriter;
import gatefront.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Nested;

/** The contract over Thrift, in each form. */
class ThriftUpstreamTest {
    private abstract static class InForm extends UpstreamContract {
        private final Form form;

        InForm(boolean framed, Encoding encoding) {
            form = new Form(framed, encoding);
        }

        @Override
        protected PooledUpstream upstream(Transport transport, int port) {
            return new ThriftUpstream(
                    transport,
                    Config.read(Path.of("src/test/resources/config.json")),
                    new ThriftSettings(null, null, port, form.framed(), true, Map.of()),
                    50,
                    new Budget(1 << 24, Map.of()));
        }

        @Override
        protected Payload call() {
            byte[] arguments =
                    new StructWriter(form.encoding()).string(2, "cuerpo").end();
            return new ThriftCall(
                    new Message(form.encoding(), new Header("order", Header.Type.CALL, 5), arguments), -1, 0);
        }

        @Override
        protected void decode(ChannelPipeline pipeline) {
            pipeline.addLast(new MessageDecoder(Limits.USUAL));
        }

        @Override
        protected byte[] reply(Object read) {
            Message call = (Message) read;
            byte[] result = call.header().name().equals(Conventions.HEALTH)
                    ? Results.health(call.encoding(), true)
                    : new StructWriter(call.encoding()).string(0, "hecho").end();
            ByteBuf out = Unpooled.buffer();
            MessageEncoder.write(
                    new Message(
                            call.encoding(),
                            new Header(
                                    call.header().name(),
                                    Header.Type.REPLY,
                                    call.header().seqid()),
                            result),
                    form.framed(),
                    out);
            return ByteBufUtil.getBytes(out);
        }
    }

    @Nested
    class FramedBinary extends InForm {
        FramedBinary() {
            super(true, Encoding.BINARY);
        }
    }

    @Nested
    class FramedCompact extends InForm {
        FramedCompact() {
            super(true, Encoding.COMPACT);
        }
    }

    @Nested
    class UnframedBinary extends InForm {
        UnframedBinary() {
            super(false, Encoding.BINARY);
        }
    }

    @Nested
    class UnframedCompact extends InForm {
        UnframedCompact() {
            super(false, Encoding.COMPACT);
        }
    }
}
