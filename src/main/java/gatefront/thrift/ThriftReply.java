package gatefront.thrift;

import gatefront.engine.Payload;
import gatefront.thrift.codec.ThriftMessage;

/** A reply from a server; its seqid is the attempt's number on the upstream connection, not the client's seqid. */
record ThriftReply(ThriftMessage message) implements Payload {
    @Override
    public long bodyBytes() {
        return message.body().length;
    }
}
