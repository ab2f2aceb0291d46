package gatefront.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermission;
import java.security.GeneralSecurityException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The HMAC keys that authenticate stored data. The key with the highest number signs; the others verify data signed
 * earlier. The set of keys is immutable: a changed key file is read into a new instance.
 */
public final class SigningKeys {
    /** No keys: nothing is signed, and signed data cannot be read. */
    public static final SigningKeys NONE = new SigningKeys(new TreeMap<>());
    /** The size of a signature in bytes. */
    static final int SIGNATURE_BYTES = 32;

    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEY_BYTES = 256;
    private static final int MAX_LINES = 1_000;
    private static final int MAX_FILE_BYTES = MAX_LINES * (2 * MAX_KEY_BYTES + 16);
    private static final String ALGORITHM = "HmacSHA256";

    private final TreeMap<Integer, SecretKeySpec> byId;
    /** One instance per key, created on first use; not safe for use by several threads. */
    private final Map<Integer, Mac> macs = new HashMap<>();

    private SigningKeys(TreeMap<Integer, SecretKeySpec> byId) {
        this.byId = byId;
    }

    /**
     * Reads a key file. Each line holds a key's number and its bytes in hex; lines that begin with # are comments.
     *
     * @throws IOException with a message of one line, which never contains key material
     */
    public static SigningKeys read(Path file) throws IOException {
        Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
        permissions.remove(PosixFilePermission.OWNER_READ);
        permissions.remove(PosixFilePermission.OWNER_WRITE);
        if (!permissions.isEmpty()) {
            throw new IOException(file + " is accessible to others than its owner; its permissions must be 0600");
        }
        byte[] text = Files.readAllBytes(file);
        if (text.length > MAX_FILE_BYTES) {
            throw new IOException(
                    file + " is too large for a key file: " + text.length + " bytes, limit " + MAX_FILE_BYTES);
        }
        return parse(file.toString(), new String(text, StandardCharsets.US_ASCII));
    }

    static SigningKeys parse(String file, String text) throws IOException {
        TreeMap<Integer, SecretKeySpec> byId = new TreeMap<>();
        if (!text.endsWith("\n")) {
            throw new IOException(file + ": the last line does not end with a newline; the file may be truncated");
        }
        int lineNumber = 0;
        for (String line : text.split("\n")) {
            lineNumber++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            String[] words = line.trim().split("\\s+");
            try {
                int id = Integer.parseInt(words[0]);
                byte[] key = HexFormat.of().parseHex(words.length == 2 ? words[1] : "?");
                if (id < 1 || key.length < MIN_KEY_BYTES || key.length > MAX_KEY_BYTES) {
                    throw new IllegalArgumentException("out of range");
                }
                if (byId.put(id, new SecretKeySpec(key, ALGORITHM)) != null) {
                    throw new IOException(file + ":" + lineNumber + ": key " + id + " is defined twice");
                }
            } catch (IllegalArgumentException e) {
                // The cause is left out: its message would contain the key.
                throw new IOException(file + ":" + lineNumber + ": expected a key number of at least 1 and "
                        + MIN_KEY_BYTES + " to " + MAX_KEY_BYTES + " bytes in hex");
            }
        }
        if (byId.isEmpty()) {
            throw new IOException(file + " contains no key");
        }
        return new SigningKeys(byId);
    }

    /** Returns the number of the key that signs; 0 if there is none. */
    int signingKeyId() {
        return byId.isEmpty() ? 0 : byId.lastKey();
    }

    /** Returns whether a key of this number exists. */
    boolean has(int id) {
        return byId.containsKey(id);
    }

    /** Returns the signature by a key over the concatenation of the parts. */
    byte[] sign(int id, byte[]... parts) {
        Mac mac = macs.computeIfAbsent(id, key -> {
            try {
                Mac created = Mac.getInstance(ALGORITHM);
                created.init(byId.get(key));
                return created;
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e); // HmacSHA256 is required of every Java platform
            }
        });
        for (byte[] part : parts) {
            mac.update(part);
        }
        return mac.doFinal();
    }
}
