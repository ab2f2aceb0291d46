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
 * Encodes and decodes the records of a {@link RecoveryStore}: a byte for the kind, followed by a protobuf message whose
 * fields are described in {@code docs/design/recovery.md}. Unknown fields are skipped. An unknown kind was written by a
 * newer version of the program, and the whole store is rejected.
 */
final class RecoveryRecordCodec implements RecordConsumer {
    private static final byte KIND_START = 'L';
    private static final byte KIND_ALIVE_MARK = 'M';
    private static final byte KIND_BAN = 'B';
    private static final byte KIND_BAN_REMOVAL = 'F';
    private static final byte KIND_SERVER_LIST = 'S';
    private static final int FIELD_NAME = 1;
    private static final int FIELD_TIME = 2;
    private static final int FIELD_START_NUMBER = 3;
    private static final int FIELD_DRAINED = 4;
    private static final int FIELD_BYTES = 5;
    /** One more than the highest field number. */
    private static final int FIELD_NUMBER_END = 6;

    private final Map<String, ServerBans.Entry> bans = new LinkedHashMap<>();
    private String instance;
    private long startNumber;
    private long writtenUntilMicros = -1;
    private long serverListMicros = -1;
    private byte[] serverList;

    private interface FieldWriter {
        void write(CodedOutputStream out) throws IOException;
    }

    private static byte[] encode(byte kind, FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(32);
        bytes.write(kind);
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            fields.write(out);
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e); // cannot happen: the output is an array in memory
        }
        return bytes.toByteArray();
    }

    /** Encodes that an instance has started, with the number of the start and its time in microseconds. */
    static byte[] start(String instance, long startNumber, long timeMicros) {
        return encode(KIND_START, out -> {
            out.writeString(FIELD_NAME, instance);
            out.writeSInt64(FIELD_TIME, timeMicros);
            out.writeUInt64(FIELD_START_NUMBER, startNumber);
        });
    }

    /** Encodes that the instance was running at a time. */
    static byte[] aliveMark(long timeMicros) {
        return encode(KIND_ALIVE_MARK, out -> out.writeSInt64(FIELD_TIME, timeMicros));
    }

    /** Encodes that operators have drained a server or put it back. */
    static byte[] ban(String name, ServerBans.Entry entry) {
        return encode(KIND_BAN, out -> {
            out.writeString(FIELD_NAME, name);
            out.writeSInt64(FIELD_TIME, entry.changedAtMicros());
            out.writeBool(FIELD_DRAINED, entry.drained());
        });
    }

    /** Encodes that the entry of a server has been removed. */
    static byte[] banRemoval(String name) {
        return encode(KIND_BAN_REMOVAL, out -> out.writeString(FIELD_NAME, name));
    }

    /** Returns whether a record only removes an earlier one. */
    static boolean isRemoval(byte[] record) {
        return record[0] == KIND_BAN_REMOVAL;
    }

    /** Encodes the full server list and the time at which it was valid. */
    static byte[] serverList(long timeMicros, byte[] list) {
        return encode(KIND_SERVER_LIST, out -> {
            out.writeSInt64(FIELD_TIME, timeMicros);
            out.writeByteArray(FIELD_BYTES, list);
        });
    }

    @Override
    public void snapshot(byte[] record) throws IOException {
        apply(record);
    }

    @Override
    public void record(long number, byte[] record) throws IOException {
        apply(record);
    }

    private void apply(byte[] record) throws IOException {
        String name = "";
        byte[] bytes = null;
        long[] numbers = new long[FIELD_NUMBER_END];
        CodedInputStream in =
                CodedInputStream.newInstance(record, Math.min(1, record.length), Math.max(0, record.length - 1));
        for (int tag; (tag = in.readTag()) != 0; ) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case FIELD_NAME -> name = in.readStringRequireUtf8();
                case FIELD_TIME -> numbers[FIELD_TIME] = in.readSInt64();
                case FIELD_START_NUMBER, FIELD_DRAINED -> numbers[WireFormat.getTagFieldNumber(tag)] = in.readUInt64();
                case FIELD_BYTES -> bytes = in.readByteArray();
                default -> {
                    if (!in.skipField(tag)) {
                        throw new IOException("a record ends in the middle of a group");
                    }
                }
            }
        }
        switch (record.length == 0 ? 0 : record[0]) {
            case KIND_START -> {
                instance = name;
                startNumber = numbers[FIELD_START_NUMBER];
                writtenUntilMicros = numbers[FIELD_TIME];
            }
            case KIND_ALIVE_MARK -> writtenUntilMicros = numbers[FIELD_TIME];
            case KIND_BAN -> {
                if (name.isEmpty() || bans.size() >= ServerBans.MAX_ENTRIES && !bans.containsKey(name)) {
                    throw new IOException("a call by hand without a name, or one too many");
                }
                bans.put(name, new ServerBans.Entry(numbers[FIELD_DRAINED] != 0, numbers[FIELD_TIME]));
                writtenUntilMicros = Math.max(writtenUntilMicros, numbers[FIELD_TIME]);
            }
            case KIND_BAN_REMOVAL -> bans.remove(name);
            case KIND_SERVER_LIST -> {
                serverListMicros = numbers[FIELD_TIME];
                serverList = bytes;
            }
            default -> throw new IOException("a record is of no kind that is known here; a newer program wrote it");
        }
    }

    /** Returns what has been read so far. */
    StoredState contents() {
        return new StoredState(
                instance, startNumber, writtenUntilMicros, Map.copyOf(bans), serverListMicros, serverList);
    }
}
