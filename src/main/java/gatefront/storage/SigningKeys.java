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
 * The keys by which what is stored is known to be ours. The one with the highest number signs; all others are for
 * reading what was signed before. Immutable: a key file that changes is read again into another.
 */
public final class SigningKeys {
    /** No keys: nothing is signed, and what is signed cannot be read. */
    public static final SigningKeys NONE = new SigningKeys(new TreeMap<>());
    /** Bytes of a signature. */
    static final int SIGNATURE_BYTES = 32;

    private static final int MIN_KEY_BYTES = 16;
    private static final int MAX_KEY_BYTES = 256;
    private static final int MAX_LINES = 1_000;
    private static final String ALGORITHM = "HmacSHA256";

    private final TreeMap<Integer, SecretKeySpec> byId;
    /** One for each key, made when first used; as many as there are keys. One thread. */
    private final Map<Integer, Mac> macs = new HashMap<>();

    private SigningKeys(TreeMap<Integer, SecretKeySpec> byId) {
        this.byId = byId;
    }

    /**
     * Reads a key file: a line for each, its number and its bytes in hex; a line that begins with # says nothing.
     *
     * @throws IOException with one line that says what is wrong; never what a key is
     */
    public static SigningKeys read(Path file) throws IOException {
        Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(file);
        permissions.remove(PosixFilePermission.OWNER_READ);
        permissions.remove(PosixFilePermission.OWNER_WRITE);
        if (!permissions.isEmpty()) {
            throw new IOException(file + " may be read or written by others than its owner; its rights are to be 0600");
        }
        byte[] text = Files.readAllBytes(file);
        if (text.length > MAX_LINES * (2 * MAX_KEY_BYTES + 16)) {
            throw new IOException(file + " is larger than a key file may be");
        }
        return parse(file.toString(), new String(text, StandardCharsets.US_ASCII));
    }

    static SigningKeys parse(String file, String text) throws IOException {
        TreeMap<Integer, SecretKeySpec> byId = new TreeMap<>();
        if (!text.endsWith("\n")) {
            throw new IOException(file + ": its last line has no end; it may be half written");
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
                    throw new IOException(file + ":" + lineNumber + ": key " + id + " is there twice");
                }
            } catch (IllegalArgumentException e) {
                throw new IOException(file + ":" + lineNumber + ": is to be a number from 1 and " + MIN_KEY_BYTES
                        + " to " + MAX_KEY_BYTES + " bytes in hex"); // the cause would show the key
            }
        }
        if (byId.isEmpty()) {
            throw new IOException(file + " holds no key");
        }
        return new SigningKeys(byId);
    }

    /** The number of the key that signs; 0 if there is none. */
    int signingKeyId() {
        return byId.isEmpty() ? 0 : byId.lastKey();
    }

    /** Whether a key is there. */
    boolean has(int id) {
        return byId.containsKey(id);
    }

    /** The signature by a key of several stretches of bytes. */
    byte[] sign(int id, byte[]... parts) {
        Mac mac = macs.computeIfAbsent(id, key -> {
            try {
                Mac created = Mac.getInstance(ALGORITHM);
                created.init(byId.get(key));
                return created;
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e); // every JDK has it
            }
        });
        for (byte[] part : parts) {
            mac.update(part);
        }
        return mac.doFinal();
    }
}
