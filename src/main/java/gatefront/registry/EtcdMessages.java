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
 * The messages of etcd's public API, version 3, that a follower needs, by their field numbers in {@code rpc.proto} and
 * {@code kv.proto}. Unknown fields are skipped, as Protobuf requires.
 */
final class EtcdMessages {
    static final String RANGE = "/etcdserverpb.KV/Range";
    static final String WATCH = "/etcdserverpb.Watch/Watch";
    static final String AUTHENTICATE = "/etcdserverpb.Auth/Authenticate";

    private EtcdMessages() {}

    /** The header of each response: the cluster that sent it and the revision of the member. */
    record Header(long cluster, long revision) {}

    /** A response to a range request; {@code more} if the limit has truncated it. */
    record RangeResponse(Header header, List<KeyEntry> entries, boolean more) {}

    /** A response of a watch. */
    record WatchResponse(
            Header header,
            boolean created,
            boolean canceled,
            long compactRevision,
            String reason,
            boolean fragment,
            List<KeyChange> changes) {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the first key after all keys with a prefix; if the prefix is empty, a zero byte, which stands for all
     * keys.
     */
    static byte[] prefixEnd(String prefix) {
        byte[] end = bytes(prefix);
        for (int i = end.length - 1; i >= 0; i--) {
            if (end[i] != (byte) 0xff) {
                end[i]++;
                return Arrays.copyOf(end, i + 1);
            }
        }
        return new byte[1];
    }

    /** Encodes a request for a page of keys, at the newest revision if {@code revision} is 0. */
    static byte[] rangeRequest(byte[] from, byte[] to, int limit, long revision, boolean serializable) {
        return Protobuf.message(out -> {
            out.writeByteArray(1, from);
            out.writeByteArray(2, to);
            out.writeInt64(3, limit);
            if (revision > 0) {
                out.writeInt64(4, revision);
            }
            if (serializable) {
                out.writeBool(7, true);
            }
        });
    }

    /** Encodes a request to watch the changes from a revision on. */
    static byte[] watchRequest(byte[] from, byte[] to, long revision) {
        byte[] create = Protobuf.message(out -> {
            out.writeByteArray(1, from);
            out.writeByteArray(2, to);
            out.writeInt64(3, revision);
            out.writeBool(4, true);
            out.writeBool(8, true);
        });
        return Protobuf.message(out -> out.writeByteArray(1, create));
    }

    /** Encodes a request for progress on a stream of watches. */
    static byte[] progressRequest() {
        return Protobuf.message(out -> out.writeByteArray(3, new byte[0]));
    }

    /** Encodes a request for an authentication token. */
    static byte[] authenticateRequest(String user, String password) {
        return Protobuf.message(out -> {
            out.writeString(1, user);
            out.writeString(2, password);
        });
    }

    /** Decodes the token from an authentication response. */
    static String decodeToken(byte[] message) throws IOException {
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

    static RangeResponse decodeRangeResponse(byte[] message) throws IOException {
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
        return new RangeResponse(requireRevision(header), entries, more);
    }

    static WatchResponse decodeWatchResponse(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        Header header = null;
        boolean created = false;
        boolean canceled = false;
        long compactRevision = 0;
        String reason = "";
        boolean fragment = false;
        List<KeyChange> changes = new ArrayList<>();
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> header = header(in.readByteArray());
                case 3 -> created = in.readBool();
                case 4 -> canceled = in.readBool();
                case 5 -> compactRevision = in.readInt64();
                case 6 -> reason = in.readString();
                case 7 -> fragment = in.readBool();
                case 11 -> changes.add(change(in.readByteArray()));
                default -> in.skipField(tag);
            }
        }
        return new WatchResponse(
                requireRevision(header), created, canceled, compactRevision, reason, fragment, changes);
    }

    private static Header requireRevision(Header header) throws IOException {
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
        return deleted ? KeyChange.deleted(entry.key(), entry.modRevision()) : KeyChange.put(entry);
    }

    private static KeyEntry entry(byte[] message) throws IOException {
        CodedInputStream in = CodedInputStream.newInstance(message);
        String key = "";
        String value = "";
        long createRevision = 0;
        long modRevision = 0;
        for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
            switch (WireFormat.getTagFieldNumber(tag)) {
                case 1 -> key = in.readString();
                case 2 -> createRevision = in.readInt64();
                case 3 -> modRevision = in.readInt64();
                case 5 -> value = in.readString();
                default -> in.skipField(tag);
            }
        }
        if (key.isEmpty() || modRevision < 1) {
            throw new IOException("a key without name or revision");
        }
        return new KeyEntry(key, value, createRevision, modRevision);
    }
}
