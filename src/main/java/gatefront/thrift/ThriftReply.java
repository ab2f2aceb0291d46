package gatefront.thrift;

import gatefront.engine.Payload;
import gatefront.thrift.codec.ThriftMessage;

/** What a server has said; its seqid is that of its connection. */
record ThriftReply(ThriftMessage message) implements Payload {
    @Override
    public long bodyBytes() {
        return message.body().length;
    }
}
