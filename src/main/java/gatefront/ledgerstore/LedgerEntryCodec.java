package gatefront.ledgerstore;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import gatefront.ledger.EntryId;
import gatefront.ledger.LedgerEntry;
import gatefront.ledger.UsageAmounts;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/**
 * Encodes entries as protobuf messages, whose fields are documented in {@code docs/design/ledger.md}. Unknown fields
 * are skipped.
 */
public final class LedgerEntryCodec {
    private static final int INSTANCE = 1;
    private static final int EPOCH = 2;
    private static final int SEQUENCE = 3;
    private static final int KIND = 4;
    private static final int PERIOD = 5;
    private static final int TENANT = 6;
    private static final int TYPE = 7;
    private static final int REQUESTS = 8;
    private static final int WORTH = 9;
    private static final int WORK = 10;
    private static final int BYTES = 11;
    private static final int CORRECTS_INSTANCE = 12;
    private static final int CORRECTS_EPOCH = 13;
    private static final int CORRECTS_SEQUENCE = 14;
    private static final int WHY = 15;

    private LedgerEntryCodec() {}

    /** Encodes an entry. */
    public static byte[] write(LedgerEntry entry) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            out.writeString(INSTANCE, entry.id().instance());
            out.writeUInt64(EPOCH, entry.id().epoch());
            out.writeUInt64(SEQUENCE, entry.id().sequence());
            out.writeEnum(KIND, entry.kind().ordinal());
            out.writeUInt64(PERIOD, entry.period());
            out.writeString(TENANT, entry.tenant());
            out.writeString(TYPE, entry.type());
            out.writeSInt64(REQUESTS, entry.amounts().requests());
            out.writeSInt64(WORTH, entry.amounts().worth());
            out.writeSInt64(WORK, entry.amounts().work());
            out.writeSInt64(BYTES, entry.amounts().bytes());
            if (entry.corrects() != null) {
                out.writeString(CORRECTS_INSTANCE, entry.corrects().instance());
                out.writeUInt64(CORRECTS_EPOCH, entry.corrects().epoch());
                out.writeUInt64(CORRECTS_SEQUENCE, entry.corrects().sequence());
            }
            out.writeString(WHY, entry.why());
            out.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e); // a ByteArrayOutputStream never fails
        }
        return bytes.toByteArray();
    }

    /**
     * Decodes the entry that starts at an offset. The message may come from an untrusted source.
     *
     * @throws IOException if the message is malformed or the entry is invalid
     */
    public static LedgerEntry read(byte[] bytes, int from) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(bytes, from, bytes.length - from);
        String[] texts = new String[WHY + 1];
        long[] numbers = new long[WHY + 1];
        for (int tag; (tag = in.readTag()) != 0; ) {
            int field = WireFormat.getTagFieldNumber(tag);
            boolean known = field <= WHY;
            if (known && WireFormat.getTagWireType(tag) == WireFormat.WIRETYPE_LENGTH_DELIMITED) {
                texts[field] = in.readStringRequireUtf8();
            } else if (known && WireFormat.getTagWireType(tag) == WireFormat.WIRETYPE_VARINT) {
                numbers[field] = field >= REQUESTS && field <= BYTES ? in.readSInt64() : in.readUInt64();
            } else if (!in.skipField(tag)) {
                throw new IOException("entry message ends inside a group, field " + field);
            }
        }
        if (numbers[KIND] < 0 || numbers[KIND] >= LedgerEntry.Kind.values().length || texts[INSTANCE] == null) {
            throw new IOException("entry message has no instance, or its kind " + numbers[KIND] + " is unknown");
        }
        try {
            return new LedgerEntry(
                    new EntryId(texts[INSTANCE], numbers[EPOCH], numbers[SEQUENCE]),
                    LedgerEntry.Kind.values()[(int) numbers[KIND]],
                    numbers[PERIOD],
                    orEmpty(texts[TENANT]),
                    orEmpty(texts[TYPE]),
                    new UsageAmounts(numbers[REQUESTS], numbers[WORTH], numbers[WORK], numbers[BYTES]),
                    texts[CORRECTS_INSTANCE] == null
                            ? null
                            : new EntryId(
                                    texts[CORRECTS_INSTANCE], numbers[CORRECTS_EPOCH], numbers[CORRECTS_SEQUENCE]),
                    orEmpty(texts[WHY]));
        } catch (IllegalArgumentException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }
}
