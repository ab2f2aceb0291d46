package gatefront.storage;

import java.nio.ByteBuffer;
import java.security.MessageDigest;

/**
 * What ties each piece of a store to all before it: the last signature, which the next one is made over. Where nothing
 * has been signed yet it is all zeros, and stays so. Once something was signed, nothing without a signature follows.
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

    /** One that goes on from here by itself. */
    SignatureChain copy() {
        return new SignatureChain(keys, this);
    }

    /** Goes on from where another stands. */
    void copyFrom(SignatureChain other) {
        lastSignature = other.lastSignature;
        signed = other.signed;
    }

    /** Goes on from what a file says. */
    void startFrom(byte[] signature) {
        lastSignature = signature;
        signed |= !isAllZeros(signature);
    }

    /** Signs with others from now on. */
    void replaceKeys(SigningKeys newKeys) {
        keys = newKeys;
    }

    byte[] lastSignature() {
        return lastSignature;
    }

    int signingKeyId() {
        return keys.signingKeyId();
    }

    /** The signature of a piece by a key; all zeros for key 0. */
    byte[] sign(int keyId, byte[] header, byte[] body) {
        return keyId == 0 ? new byte[SigningKeys.SIGNATURE_BYTES] : keys.sign(keyId, lastSignature, header, body);
    }

    /** A piece has been written, with this signature. */
    void advance(int keyId, byte[] signature) {
        if (keyId != 0) {
            lastSignature = signature;
            signed = true;
        }
    }

    /** A piece has been read; returns what is wrong with its signature, or null. */
    String verifyAndAdvance(int keyId, byte[] signature, byte[] header, byte[] body) {
        if (keyId == 0) {
            return signed
                    ? "is not signed, and what is before it is"
                    : isAllZeros(signature) ? null : "has a signature of no key";
        }
        if (!keys.has(keyId)) {
            return "is signed with key " + keyId + ", which is not among the keys";
        }
        if (!MessageDigest.isEqual(signature, keys.sign(keyId, lastSignature, header, body))) {
            return "has another signature than its bytes";
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
