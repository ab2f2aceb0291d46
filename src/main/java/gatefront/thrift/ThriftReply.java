package gatefront.thrift;

import gatefront.engine.Payload;
import gatefront.thrift.codec.Message;

/** What a server has said; its seqid is that of its connection. */
record ThriftReply(Message message) implements Payload {
    @Override
    public long bytes() {
        return message.body().length;
    }
}
