package gatefront.agent;

import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TFieldIdEnum;
import org.apache.thrift.TProcessor;
import org.apache.thrift.TServiceClient;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;

/**
 * A service over the reference implementation, as its users write it: {@code string METHOD(1: Metadata, 2: string text)
 * throws (100: Refused, 101: Failed)}, in the style of generated code.
 */
final class ThriftTestService {
    private ThriftTestService() {}

    /** A struct as in generated code, as far as clients and servers use it. */
    abstract static class Struct implements TBase<Struct, TFieldIdEnum> {
        private static final long serialVersionUID = 1;

        @Override
        public TFieldIdEnum fieldForId(int id) {
            return null;
        }

        @Override
        public boolean isSet(TFieldIdEnum field) {
            return false;
        }

        @Override
        public Object getFieldValue(TFieldIdEnum field) {
            return null;
        }

        @Override
        public void setFieldValue(TFieldIdEnum field, Object value) {}

        @Override
        public Struct deepCopy() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void clear() {}

        @Override
        public int compareTo(Struct other) {
            return 0;
        }
    }

    /** The arguments of a call. */
    static final class Args extends Struct {
        private static final long serialVersionUID = 1;
        String requestId;
        long timeoutMs;
        String key;
        String text = "";

        Args() {}

        Args(String requestId, long timeoutMs, String key, String text) {
            this.requestId = requestId;
            this.timeoutMs = timeoutMs;
            this.key = key;
            this.text = text;
        }

        @Override
        public void read(TProtocol in) throws TException {
            in.readStructBegin();
            for (TField f = in.readFieldBegin(); f.type != TType.STOP; f = in.readFieldBegin()) {
                if (f.id == 1) {
                    in.readStructBegin();
                    for (TField m = in.readFieldBegin(); m.type != TType.STOP; m = in.readFieldBegin()) {
                        switch (m.id) {
                            case 1 -> requestId = in.readString();
                            case 2 -> timeoutMs = in.readI64();
                            case 7 -> key = in.readString();
                            default -> TProtocolUtil.skip(in, m.type);
                        }
                        in.readFieldEnd();
                    }
                    in.readStructEnd();
                } else if (f.id == 2) {
                    text = in.readString();
                } else {
                    TProtocolUtil.skip(in, f.type);
                }
                in.readFieldEnd();
            }
            in.readStructEnd();
        }

        @Override
        public void write(TProtocol out) throws TException {
            out.writeStructBegin(new TStruct("args"));
            out.writeFieldBegin(new TField("metadata", TType.STRUCT, (short) 1));
            out.writeStructBegin(new TStruct("Metadata"));
            string(out, 1, requestId);
            out.writeFieldBegin(new TField("timeoutMs", TType.I64, (short) 2));
            out.writeI64(timeoutMs);
            out.writeFieldEnd();
            if (key != null) {
                string(out, 7, key);
            }
            out.writeFieldStop();
            out.writeStructEnd();
            out.writeFieldEnd();
            string(out, 2, text);
            out.writeFieldStop();
            out.writeStructEnd();
        }
    }

    private static void string(TProtocol out, int id, String value) throws TException {
        out.writeFieldBegin(new TField("f", TType.STRING, (short) id));
        out.writeString(value);
        out.writeFieldEnd();
    }

    /** The result of a call: exactly one of success, refused and failed is set. */
    static final class Result extends Struct {
        private static final long serialVersionUID = 1;
        String success;
        String refused;
        long retryAfterMs;
        String failed;
        /** An optional load report, as a nodo may add it. */
        String load;

        @Override
        public void read(TProtocol in) throws TException {
            in.readStructBegin();
            for (TField f = in.readFieldBegin(); f.type != TType.STOP; f = in.readFieldBegin()) {
                if (f.id == 0) {
                    success = in.readString();
                } else if (f.id == 100 || f.id == 101) {
                    in.readStructBegin();
                    for (TField m = in.readFieldBegin(); m.type != TType.STOP; m = in.readFieldBegin()) {
                        if (m.id == 1 && f.id == 100) {
                            refused = in.readString();
                        } else if (m.id == 1) {
                            failed = in.readString();
                        } else if (m.id == 2) {
                            retryAfterMs = in.readI64();
                        } else {
                            TProtocolUtil.skip(in, m.type);
                        }
                        in.readFieldEnd();
                    }
                    in.readStructEnd();
                } else {
                    TProtocolUtil.skip(in, f.type);
                }
                in.readFieldEnd();
            }
            in.readStructEnd();
        }

        @Override
        public void write(TProtocol out) throws TException {
            out.writeStructBegin(new TStruct("result"));
            if (success != null) {
                string(out, 0, success);
            }
            for (int id = 100; id <= 101; id++) {
                String reason = id == 100 ? refused : failed;
                if (reason != null) {
                    out.writeFieldBegin(new TField("e", TType.STRUCT, (short) id));
                    out.writeStructBegin(new TStruct("e"));
                    string(out, 1, reason);
                    out.writeFieldStop();
                    out.writeStructEnd();
                    out.writeFieldEnd();
                }
            }
            if (load != null) {
                string(out, 32_000, load);
            }
            out.writeFieldStop();
            out.writeStructEnd();
        }
    }

    /** A client in the style of generated code. */
    static final class Client extends TServiceClient {
        Client(TProtocol protocol) {
            super(protocol, protocol);
        }

        Result call(String method, Args args) throws TException {
            sendBase(method, args);
            return receive(method);
        }

        Result receive(String method) throws TException {
            Result result = new Result();
            receiveBase(result, method);
            return result;
        }

        void send(String method, Args args) throws TException {
            sendBase(method, args);
        }

        void oneway(String method, Args args) throws TException {
            sendBaseOneway(method, args);
        }
    }

    /** Creates a server at an address. */
    interface ServerFactory {
        org.apache.thrift.server.TServer create(java.net.InetSocketAddress address) throws TException;
    }

    /** Handles a call on a nodo. */
    interface Handler {
        /**
         * Returns the result; a TApplicationException is sent as such, and any other TException closes the
         * connection.
         */
        Result handle(String method, Args args) throws TException;
    }

    /** A processor of a server in the style of generated code. */
    static final class Processor implements TProcessor {
        final AtomicInteger calls = new AtomicInteger();
        private final Handler handler;

        Processor(Handler work) {
            this.handler = work;
        }

        @Override
        public void process(TProtocol in, TProtocol out) throws TException {
            TMessage message = in.readMessageBegin();
            if (message.name.equals("gatefrontHealth")) {
                TProtocolUtil.skip(in, TType.STRUCT);
                in.readMessageEnd();
                out.writeMessageBegin(new TMessage(message.name, TMessageType.REPLY, message.seqid));
                out.writeStructBegin(new TStruct("result"));
                out.writeFieldBegin(new TField("success", TType.STRUCT, (short) 0));
                out.writeStructBegin(new TStruct("Health"));
                out.writeFieldBegin(new TField("ready", TType.BOOL, (short) 1));
                out.writeBool(true);
                out.writeFieldEnd();
                out.writeFieldStop();
                out.writeStructEnd();
                out.writeFieldEnd();
                out.writeFieldStop();
                out.writeStructEnd();
            } else {
                Args args = new Args();
                args.read(in);
                in.readMessageEnd();
                calls.incrementAndGet();
                Result result;
                try {
                    result = handler.handle(message.name, args);
                } catch (TApplicationException e) {
                    out.writeMessageBegin(new TMessage(message.name, TMessageType.EXCEPTION, message.seqid));
                    e.write(out);
                    out.writeMessageEnd();
                    out.getTransport().flush();
                    return;
                }
                if (message.type == TMessageType.ONEWAY) {
                    return;
                }
                out.writeMessageBegin(new TMessage(message.name, TMessageType.REPLY, message.seqid));
                result.write(out);
            }
            out.writeMessageEnd();
            out.getTransport().flush();
        }
    }
}
