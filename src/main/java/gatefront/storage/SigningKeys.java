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
    static final int MAC = 32;

    private static final int BYTES_LEAST = 16;
    private static final int BYTES_MOST = 256;
    private static final int LINES_MOST = 1_000;
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
        Set<PosixFilePermission> rights = Files.getPosixFilePermissions(file);
        rights.remove(PosixFilePermission.OWNER_READ);
        rights.remove(PosixFilePermission.OWNER_WRITE);
        if (!rights.isEmpty()) {
            throw new IOException(file + " may be read or written by others than its owner; its rights are to be 0600");
        }
        byte[] text = Files.readAllBytes(file);
        if (text.length > LINES_MOST * (2 * BYTES_MOST + 16)) {
            throw new IOException(file + " is larger than a key file may be");
        }
        return parse(file.toString(), new String(text, StandardCharsets.US_ASCII));
    }

    static SigningKeys parse(String file, String text) throws IOException {
        TreeMap<Integer, SecretKeySpec> byId = new TreeMap<>();
        if (!text.endsWith("\n")) {
            throw new IOException(file + ": its last line has no end; it may be half written");
        }
        int n = 0;
        for (String line : text.split("\n")) {
            n++;
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            String[] words = line.trim().split("\\s+");
            try {
                int id = Integer.parseInt(words[0]);
                byte[] key = HexFormat.of().parseHex(words.length == 2 ? words[1] : "?");
                if (id < 1 || key.length < BYTES_LEAST || key.length > BYTES_MOST) {
                    throw new IllegalArgumentException("out of range");
                }
                if (byId.put(id, new SecretKeySpec(key, ALGORITHM)) != null) {
                    throw new IOException(file + ":" + n + ": key " + id + " is there twice");
                }
            } catch (IllegalArgumentException e) {
                throw new IOException(file + ":" + n + ": is to be a number from 1 and " + BYTES_LEAST + " to "
                        + BYTES_MOST + " bytes in hex"); // the cause would show the key
            }
        }
        if (byId.isEmpty()) {
            throw new IOException(file + " holds no key");
        }
        return new SigningKeys(byId);
    }

    /** The number of the key that signs; 0 if there is none. */
    int signing() {
        return byId.isEmpty() ? 0 : byId.lastKey();
    }

    /** Whether a key is there. */
    boolean has(int id) {
        return byId.containsKey(id);
    }

    /** The signature by a key of several stretches of bytes. */
    byte[] sign(int id, byte[]... stretches) {
        Mac mac = macs.computeIfAbsent(id, key -> {
            try {
                Mac made = Mac.getInstance(ALGORITHM);
                made.init(byId.get(key));
                return made;
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e); // every JDK has it
            }
        });
        for (byte[] each : stretches) {
            mac.update(each);
        }
        return mac.doFinal();
    }
}
