package gatefront.persistence;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import gatefront.membership.ServerBans;
import gatefront.storage.RecordConsumer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The records of what is kept, as protobuf messages behind a byte for the kind; {@code docs/design/recovery.md} has the
 * fields. Unknown fields are skipped; an unknown kind is a newer program's, and nothing of the store is believed then.
 */
final class RecoveryRecordCodec implements RecordConsumer {
    private static final byte LIFE = 'L';
    private static final byte MARK = 'M';
    private static final byte BAN = 'B';
    private static final byte FORGOTTEN = 'F';
    private static final byte LIST = 'S';
    private static final int NAME = 1;
    private static final int AT = 2;
    private static final int NUMBER = 3;
    private static final int OUT = 4;
    private static final int BYTES = 5;
    private static final int FIELDS = 6;

    private final Map<String, ServerBans.Entry> bans = new LinkedHashMap<>();
    private String instance;
    private long life;
    private long upTo = -1;
    private long listAt = -1;
    private byte[] list;

    private interface Fields {
        void write(CodedOutputStream out) throws IOException;
    }

    private static byte[] message(byte kind, Fields fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(32);
        bytes.write(kind);
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            fields.write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e); // an array takes all
        }
        return bytes.toByteArray();
    }

    /** An instance has started, for the n-th time. */
    static byte[] life(String instance, long life, long at) {
        return message(LIFE, out -> {
            out.writeString(NAME, instance);
            out.writeSInt64(AT, at);
            out.writeUInt64(NUMBER, life);
        });
    }

    /** It is still there. */
    static byte[] mark(long at) {
        return message(MARK, out -> out.writeSInt64(AT, at));
    }

    /** Staff have taken a server out, or put it back. */
    static byte[] ban(String name, ServerBans.Entry entry) {
        return message(BAN, out -> {
            out.writeString(NAME, name);
            out.writeSInt64(AT, entry.at());
            out.writeBool(OUT, entry.out());
        });
    }

    /** Nothing is known of a server any more. */
    static byte[] forgotten(String name) {
        return message(FORGOTTEN, out -> out.writeString(NAME, name));
    }

    /** Whether a record says only that there is nothing any more. */
    static boolean ends(byte[] record) {
        return record[0] == FORGOTTEN;
    }

    /** The whole list. */
    static byte[] list(long at, byte[] list) {
        return message(LIST, out -> {
            out.writeSInt64(AT, at);
            out.writeByteArray(BYTES, list);
        });
    }

    @Override
    public void snapshot(byte[] record) throws IOException {
        take(record);
    }

    @Override
    public void record(long number, byte[] record) throws IOException {
        take(record);
    }

    private void take(byte[] record) throws IOException {
        String name = "";
        byte[] bytes = null;
        long[] numbers = new long[FIELDS];
        CodedInputStream in =
                CodedInputStream.newInstance(record, Math.min(1, record.length), Math.max(0, record.length - 1));
        for (int tag; (tag = in.readTag()) != 0; ) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case NAME -> name = in.readStringRequireUtf8();
                case AT -> numbers[AT] = in.readSInt64();
                case NUMBER, OUT -> numbers[WireFormat.getTagFieldNumber(tag)] = in.readUInt64();
                case BYTES -> bytes = in.readByteArray();
                default -> {
                    if (!in.skipField(tag)) {
                        throw new IOException("a record ends in the middle of a group");
                    }
                }
            }
        }
        switch (record.length == 0 ? 0 : record[0]) {
            case LIFE -> {
                instance = name;
                life = numbers[NUMBER];
                upTo = numbers[AT];
            }
            case MARK -> upTo = numbers[AT];
            case BAN -> {
                if (name.isEmpty() || bans.size() >= ServerBans.MOST && !bans.containsKey(name)) {
                    throw new IOException("a call by hand without a name, or one too many");
                }
                bans.put(name, new ServerBans.Entry(numbers[OUT] != 0, numbers[AT]));
                upTo = Math.max(upTo, numbers[AT]);
            }
            case FORGOTTEN -> bans.remove(name);
            case LIST -> {
                listAt = numbers[AT];
                list = bytes;
            }
            default -> throw new IOException("a record is of no kind that is known here; a newer program wrote it");
        }
    }

    /** What has been read so far. */
    StoredState kept() {
        return new StoredState(instance, life, upTo, Map.copyOf(bans), listAt, list);
    }
}
