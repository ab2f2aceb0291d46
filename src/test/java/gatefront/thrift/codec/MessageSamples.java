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

/** Messages written by the reference implementation. */
final class MessageSamples {
    static final MessageFormat[] FORMATS = {
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
    /** Number of types without UUID, which the reference writes and reads but cannot skip. */
    private static final int WITHOUT_UUID = TYPES.length - 1;

    private static final byte[] MESSAGE_TYPES = {1, 2, 3, 4};

    /** Writes the fields of a struct. */
    interface Body {
        void write(TProtocol to) throws TException;
    }

    private MessageSamples() {}

    /** Creates the reference's protocol on a transport. */
    static TProtocol protocol(ThriftEncoding encoding, TTransport transport) {
        return switch (encoding) {
            case BINARY -> new TBinaryProtocol(transport, true, true);
            case BINARY_OLD -> new TBinaryProtocol(transport, false, false);
            case COMPACT -> new TCompactProtocol(transport);
        };
    }

    /** Encodes a message with the reference implementation. */
    static byte[] message(MessageFormat format, String name, int type, int seqid, Body body) throws TException {
        TMemoryBuffer memory = new TMemoryBuffer(512);
        TTransport transport = format.framed() ? new TFramedTransport(memory) : memory;
        TProtocol out = protocol(format.encoding(), transport);
        out.writeMessageBegin(new TMessage(name, (byte) type, seqid));
        out.writeStructBegin(new TStruct("args"));
        body.write(out);
        out.writeFieldStop();
        out.writeStructEnd();
        out.writeMessageEnd();
        transport.flush();
        return java.util.Arrays.copyOf(memory.getArray(), memory.length());
    }

    /** Encodes a message with random fields of any type. */
    static byte[] random(MessageFormat format, Random random) throws TException {
        return random(format, random, TYPES.length);
    }

    /** Encodes a message with random fields of the types that the reference can skip. */
    static byte[] withoutUuids(MessageFormat format, Random random) throws TException {
        return random(format, random, WITHOUT_UUID);
    }

    private static byte[] random(MessageFormat format, Random random, int types) throws TException {
        return message(
                format,
                "metodo" + random.nextInt(100),
                MESSAGE_TYPES[random.nextInt(4)],
                random.nextInt(),
                to -> fields(to, random, 0, types));
    }

    private static void fields(TProtocol out, Random random, int depth, int types) throws TException {
        int count = random.nextInt(5);
        int id = random.nextInt(4);
        for (int i = 0; i < count; i++) {
            byte type = type(random, depth, types);
            id += 1 + (random.nextInt(5) == 0 ? random.nextInt(400) : random.nextInt(3));
            out.writeFieldBegin(new TField("f", type, (short) id));
            value(out, type, random, depth, types);
            out.writeFieldEnd();
        }
    }

    private static byte type(Random random, int depth, int types) {
        return TYPES[random.nextInt(depth > 4 ? 7 : types)];
    }

    private static void value(TProtocol out, byte type, Random random, int depth, int types) throws TException {
        switch (type) {
            case TType.BOOL -> out.writeBool(random.nextBoolean());
            case TType.BYTE -> out.writeByte((byte) random.nextInt());
            case TType.DOUBLE -> out.writeDouble(random.nextDouble());
            case TType.I16 -> out.writeI16((short) random.nextInt());
            case TType.I32 -> out.writeI32(random.nextInt() >> random.nextInt(32));
            case TType.I64 -> out.writeI64(random.nextLong() >> random.nextInt(64));
            case TType.UUID -> out.writeUuid(new java.util.UUID(random.nextLong(), random.nextLong()));
            case TType.STRING -> {
                byte[] bytes = new byte[random.nextInt(random.nextInt(10) == 0 ? 300 : 12)];
                random.nextBytes(bytes);
                out.writeBinary(ByteBuffer.wrap(bytes));
            }
            case TType.STRUCT -> {
                out.writeStructBegin(new TStruct("s"));
                fields(out, random, depth + 1, types);
                out.writeFieldStop();
                out.writeStructEnd();
            }
            case TType.MAP -> {
                byte keyType = type(random, depth + 1, types);
                byte valueType = type(random, depth + 1, types);
                int count = random.nextInt(4);
                out.writeMapBegin(new TMap(keyType, valueType, count));
                for (int i = 0; i < count; i++) {
                    value(out, keyType, random, depth + 1, types);
                    value(out, valueType, random, depth + 1, types);
                }
                out.writeMapEnd();
            }
            default -> {
                byte elementType = type(random, depth + 1, types);
                int count = random.nextInt(random.nextInt(8) == 0 ? 40 : 4);
                if (type == TType.SET) {
                    out.writeSetBegin(new TSet(elementType, count));
                } else {
                    out.writeListBegin(new TList(elementType, count));
                }
                for (int i = 0; i < count; i++) {
                    value(out, elementType, random, depth + 1, types);
                }
                if (type == TType.SET) {
                    out.writeSetEnd();
                } else {
                    out.writeListEnd();
                }
            }
        }
    }
}
