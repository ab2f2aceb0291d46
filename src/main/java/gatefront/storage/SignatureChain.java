package gatefront.storage;

import java.nio.ByteBuffer;
import java.security.MessageDigest;

/**
 * Chains the signatures of a store: each signature also covers the one before it. Until something is signed, the last
 * signature is all zeros. Once something has been signed, unsigned data is rejected.
 */
final class SignatureChain {
    private SigningKeys keys;
    private byte[] lastSignature = new byte[SigningKeys.SIGNATURE_BYTES];
    private boolean signed;

    SignatureChain(SigningKeys keys) {
        this.keys = keys;
    }

    private SignatureChain(SigningKeys keys, SignatureChain from) {
        this.keys = keys;
        this.lastSignature = from.lastSignature;
        this.signed = from.signed;
    }

    /** Returns an independent copy. */
    SignatureChain copy() {
        return new SignatureChain(keys, this);
    }

    /** Copies the position of another chain. */
    void copyFrom(SignatureChain other) {
        lastSignature = other.lastSignature;
        signed = other.signed;
    }

    /** Restarts from the previous signature stated by a file's header. */
    void startFrom(byte[] signature) {
        lastSignature = signature;
        signed |= !isAllZeros(signature);
    }

    /** Signs with other keys from now on. */
    void replaceKeys(SigningKeys newKeys) {
        keys = newKeys;
    }

    byte[] lastSignature() {
        return lastSignature;
    }

    int signingKeyId() {
        return keys.signingKeyId();
    }

    /** Returns the signature of a header and body by a key; all zeros for key 0. */
    byte[] sign(int keyId, byte[] header, byte[] body) {
        return keyId == 0 ? new byte[SigningKeys.SIGNATURE_BYTES] : keys.sign(keyId, lastSignature, header, body);
    }

    /** Advances over data that was written with this signature. */
    void advance(int keyId, byte[] signature) {
        if (keyId != 0) {
            lastSignature = signature;
            signed = true;
        }
    }

    /** Verifies the signature of data that was read and advances over it; returns what is wrong, or null. */
    String verifyAndAdvance(int keyId, byte[] signature, byte[] header, byte[] body) {
        if (keyId == 0) {
            return signed
                    ? "is not signed, but the data before it is"
                    : isAllZeros(signature) ? null : "has a signature but no key number";
        }
        if (!keys.has(keyId)) {
            return "is signed with key " + keyId + ", which is not among the keys";
        }
        if (!MessageDigest.isEqual(signature, keys.sign(keyId, lastSignature, header, body))) {
            return "has a signature that does not match its contents";
        }
        advance(keyId, signature);
        return null;
    }

    private static boolean isAllZeros(byte[] bytes) {
        int combined = 0;
        for (byte value : bytes) {
            combined |= value;
        }
        return combined == 0;
    }

    static byte[] readBytes(ByteBuffer from, int length) {
        byte[] bytes = new byte[length];
        from.get(bytes);
        return bytes;
    }
}
