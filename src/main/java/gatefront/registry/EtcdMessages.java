package gatefront.registry;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import gatefront.registry.follower.KeyChange;
import gatefront.registry.follower.KeyEntry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The few messages of etcd's public interface, version 3, that a follower needs, by their field numbers in
 * {@code rpc.proto} and {@code kv.proto}. Unknown fields are skipped, as the format has it.
 */
final class EtcdMessages {
    static final String RANGE = "/etcdserverpb.KV/Range";
    static final String WATCH = "/etcdserverpb.Watch/Watch";
    static final String AUTHENTICATE = "/etcdserverpb.Auth/Authenticate";

    private EtcdMessages() {}

    /** Of each answer: whose it is and how far the member was. */
    record Header(long cluster, long revision) {}

    /** Keys; {@code more} if the limit has cut them. */
    record Range(Header header, List<KeyEntry> entries, boolean more) {}

    /** News of a watch. */
    record Watched(
            Header header,
            boolean created,
            boolean canceled,
            long compacted,
            String reason,
            boolean fragment,
            List<KeyChange> changes) {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** The first key behind all that begin with a prefix; a zero byte, for all there are, if it is empty. */
    static byte[] behind(String prefix) {
        byte[] end = bytes(prefix);
        for (int i = end.length - 1; i >= 0; i--) {
            if (end[i] != (byte) 0xff) {
                end[i]++;
                return Arrays.copyOf(end, i + 1);
            }
        }
        return new byte[1];
    }

    /** Asks for a page of keys; at the newest revision if that is 0. */
    static byte[] range(byte[] from, byte[] to, int limit, long revision, boolean anyMember) {
        return Protobuf.message(out -> {
            out.writeByteArray(1, from);
            out.writeByteArray(2, to);
            out.writeInt64(3, limit);
            if (revision > 0) {
                out.writeInt64(4, revision);
            }
            if (anyMember) {
                out.writeBool(7, true);
            }
        });
    }

    /** Asks to be told of what changes from a revision on. */
    static byte[] watch(byte[] from, byte[] to, long revision) {
        byte[] create = Protobuf.message(out -> {
            out.writeByteArray(1, from);
            out.writeByteArray(2, to);
            out.writeInt64(3, revision);
            out.writeBool(4, true);
            out.writeBool(8, true);
        });
        return Protobuf.message(out -> out.writeByteArray(1, create));
    }

    /** Asks a stream of watches how far it is. */
    static byte[] progress() {
        return Protobuf.message(out -> out.writeByteArray(3, new byte[0]));
    }

    /** Asks for a token. */
    static byte[] authenticate(String user, String password) {
        return Protobuf.message(out -> {
            out.writeString(1, user);
            out.writeString(2, password);
        });
    }

    /** The token that came. */
    static String token(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        String token = "";
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            if (WireFormat.getTagFieldNumber(tag) == 2) {
                token = in.readStringRequireUtf8();
            } else {
                in.skipField(tag);
            }
        }
        if (token.isEmpty()) {
            throw new IOException("no token");
        }
        return token;
    }

    static Range range(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        Header header = null;
        List<KeyEntry> entries = new ArrayList<>();
        boolean more = false;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> header = header(in.readByteArray());
                case 2 -> entries.add(entry(in.readByteArray()));
                case 3 -> more = in.readBool();
                default -> in.skipField(tag);
            }
        }
        return new Range(need(header), entries, more);
    }

    static Watched watched(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        Header header = null;
        boolean created = false;
        boolean canceled = false;
        long compacted = 0;
        String reason = "";
        boolean fragment = false;
        List<KeyChange> changes = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> header = header(in.readByteArray());
                case 3 -> created = in.readBool();
                case 4 -> canceled = in.readBool();
                case 5 -> compacted = in.readInt64();
                case 6 -> reason = in.readString();
                case 7 -> fragment = in.readBool();
                case 11 -> changes.add(change(in.readByteArray()));
                default -> in.skipField(tag);
            }
        }
        return new Watched(need(header), created, canceled, compacted, reason, fragment, changes);
    }

    private static Header need(Header header) throws IOException {
        if (header == null || header.revision < 1) {
            throw new IOException("no revision");
        }
        return header;
    }

    private static Header header(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        long cluster = 0;
        long revision = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> cluster = in.readUInt64();
                case 3 -> revision = in.readInt64();
                default -> in.skipField(tag);
            }
        }
        return new Header(cluster == 0 ? 1 : cluster, revision);
    }

    private static KeyChange change(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        boolean deleted = false;
        KeyEntry entry = null;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> deleted = in.readEnum() == 1;
                case 2 -> entry = entry(in.readByteArray());
                default -> in.skipField(tag);
            }
        }
        if (entry == null) {
            throw new IOException("a change of no key");
        }
        return deleted ? KeyChange.deleted(entry.key(), entry.modified()) : KeyChange.put(entry);
    }

    private static KeyEntry entry(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        String key = "";
        String value = "";
        long created = 0;
        long modified = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> key = in.readString();
                case 2 -> created = in.readInt64();
                case 3 -> modified = in.readInt64();
                case 5 -> value = in.readString();
                default -> in.skipField(tag);
            }
        }
        if (key.isEmpty() || modified < 1) {
            throw new IOException("a key without name or revision");
        }
        return new KeyEntry(key, value, created, modified);
    }
}
