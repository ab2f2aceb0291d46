package gatefront.thrift.codec;

import java.nio.ByteBuffer;
import java.util.Random;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TSet;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;

/** Messages as the reference implementation writes them. */
final class MessageSamples {
    static final MessageFormat[] FORMS = {
        new MessageFormat(true, ThriftEncoding.BINARY),
        new MessageFormat(true, ThriftEncoding.COMPACT),
        new MessageFormat(false, ThriftEncoding.BINARY),
        new MessageFormat(false, ThriftEncoding.COMPACT),
        new MessageFormat(true, ThriftEncoding.BINARY_OLD),
        new MessageFormat(false, ThriftEncoding.BINARY_OLD)
    };
    private static final byte[] TYPES = {
        TType.BOOL,
        TType.BYTE,
        TType.DOUBLE,
        TType.I16,
        TType.I32,
        TType.I64,
        TType.STRING,
        TType.STRUCT,
        TType.MAP,
        TType.SET,
        TType.LIST,
        TType.UUID
    };
    /** All but the last, which the reference writes and reads, but cannot pass over. */
    private static final int WITHOUT_UUID = TYPES.length - 1;

    private static final byte[] MESSAGE_TYPES = {1, 2, 3, 4};

    /** What writes a struct's fields. */
    interface Body {
        void write(TProtocol to) throws TException;
    }

    private MessageSamples() {}

    /** The reference's protocol on a transport. */
    static TProtocol protocol(ThriftEncoding encoding, TTransport transport) {
        return switch (encoding) {
            case BINARY -> new TBinaryProtocol(transport, true, true);
            case BINARY_OLD -> new TBinaryProtocol(transport, false, false);
            case COMPACT -> new TCompactProtocol(transport);
        };
    }

    /** A message as the reference writes it. */
    static byte[] message(MessageFormat form, String name, int type, int seqid, Body body) throws TException {
        TMemoryBuffer memory = new TMemoryBuffer(512);
        TTransport transport = form.framed() ? new TFramedTransport(memory) : memory;
        TProtocol to = protocol(form.encoding(), transport);
        to.writeMessageBegin(new TMessage(name, (byte) type, seqid));
        to.writeStructBegin(new TStruct("args"));
        body.write(to);
        to.writeFieldStop();
        to.writeStructEnd();
        to.writeMessageEnd();
        transport.flush();
        return java.util.Arrays.copyOf(memory.getArray(), memory.length());
    }

    /** A message with any fields of any types. */
    static byte[] random(MessageFormat form, Random random) throws TException {
        return random(form, random, TYPES.length);
    }

    /** The same with types alone that the reference can pass over. */
    static byte[] withoutUuids(MessageFormat form, Random random) throws TException {
        return random(form, random, WITHOUT_UUID);
    }

    private static byte[] random(MessageFormat form, Random random, int types) throws TException {
        return message(
                form,
                "metodo" + random.nextInt(100),
                MESSAGE_TYPES[random.nextInt(4)],
                random.nextInt(),
                to -> fields(to, random, 0, types));
    }

    private static void fields(TProtocol to, Random random, int depth, int types) throws TException {
        int n = random.nextInt(5);
        int id = random.nextInt(4);
        for (int i = 0; i < n; i++) {
            byte type = type(random, depth, types);
            id += 1 + (random.nextInt(5) == 0 ? random.nextInt(400) : random.nextInt(3));
            to.writeFieldBegin(new TField("f", type, (short) id));
            value(to, type, random, depth, types);
            to.writeFieldEnd();
        }
    }

    private static byte type(Random random, int depth, int types) {
        return TYPES[random.nextInt(depth > 4 ? 7 : types)];
    }

    private static void value(TProtocol to, byte type, Random random, int depth, int types) throws TException {
        switch (type) {
            case TType.BOOL -> to.writeBool(random.nextBoolean());
            case TType.BYTE -> to.writeByte((byte) random.nextInt());
            case TType.DOUBLE -> to.writeDouble(random.nextDouble());
            case TType.I16 -> to.writeI16((short) random.nextInt());
            case TType.I32 -> to.writeI32(random.nextInt() >> random.nextInt(32));
            case TType.I64 -> to.writeI64(random.nextLong() >> random.nextInt(64));
            case TType.UUID -> to.writeUuid(new java.util.UUID(random.nextLong(), random.nextLong()));
            case TType.STRING -> {
                byte[] bytes = new byte[random.nextInt(random.nextInt(10) == 0 ? 300 : 12)];
                random.nextBytes(bytes);
                to.writeBinary(ByteBuffer.wrap(bytes));
            }
            case TType.STRUCT -> {
                to.writeStructBegin(new TStruct("s"));
                fields(to, random, depth + 1, types);
                to.writeFieldStop();
                to.writeStructEnd();
            }
            case TType.MAP -> {
                byte keys = type(random, depth + 1, types);
                byte values = type(random, depth + 1, types);
                int n = random.nextInt(4);
                to.writeMapBegin(new TMap(keys, values, n));
                for (int i = 0; i < n; i++) {
                    value(to, keys, random, depth + 1, types);
                    value(to, values, random, depth + 1, types);
                }
                to.writeMapEnd();
            }
            default -> {
                byte elements = type(random, depth + 1, types);
                int n = random.nextInt(random.nextInt(8) == 0 ? 40 : 4);
                if (type == TType.SET) {
                    to.writeSetBegin(new TSet(elements, n));
                } else {
                    to.writeListBegin(new TList(elements, n));
                }
                for (int i = 0; i < n; i++) {
                    value(to, elements, random, depth + 1, types);
                }
                if (type == TType.SET) {
                    to.writeSetEnd();
                } else {
                    to.writeListEnd();
                }
            }
        }
    }
}
