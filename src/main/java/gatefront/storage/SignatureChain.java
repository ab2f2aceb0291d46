package gatefront.storage;

import java.nio.ByteBuffer;
import java.security.MessageDigest;

/**
 * What ties each piece of a store to all before it: the last signature, which the next one is made over. Where nothing
 * has been signed yet it is all zeros, and stays so. Once something was signed, nothing without a signature follows.
 */
final class SignatureChain {
    private SigningKeys keys;
    private byte[] last = new byte[SigningKeys.MAC];
    private boolean signed;

    SignatureChain(SigningKeys keys) {
        this.keys = keys;
    }

    private SignatureChain(SigningKeys keys, SignatureChain from) {
        this.keys = keys;
        this.last = from.last;
        this.signed = from.signed;
    }

    /** One that goes on from here by itself. */
    SignatureChain branch() {
        return new SignatureChain(keys, this);
    }

    /** Goes on from where another stands. */
    void follow(SignatureChain other) {
        last = other.last;
        signed = other.signed;
    }

    /** Goes on from what a file says. */
    void begin(byte[] from) {
        last = from;
        signed |= !blank(from);
    }

    /** Signs with others from now on. */
    void keys(SigningKeys others) {
        keys = others;
    }

    byte[] last() {
        return last;
    }

    int signing() {
        return keys.signing();
    }

    /** The signature of a piece by a key; all zeros for key 0. */
    byte[] sign(int key, byte[] head, byte[] body) {
        return key == 0 ? new byte[SigningKeys.MAC] : keys.sign(key, last, head, body);
    }

    /** A piece has been written, with this signature. */
    void wrote(int key, byte[] mac) {
        if (key != 0) {
            last = mac;
            signed = true;
        }
    }

    /** A piece has been read; returns what is wrong with its signature, or null. */
    String read(int key, byte[] mac, byte[] head, byte[] body) {
        if (key == 0) {
            return signed ? "is not signed, and what is before it is" : blank(mac) ? null : "has a signature of no key";
        }
        if (!keys.has(key)) {
            return "is signed with key " + key + ", which is not among the keys";
        }
        if (!MessageDigest.isEqual(mac, keys.sign(key, last, head, body))) {
            return "has another signature than its bytes";
        }
        wrote(key, mac);
        return null;
    }

    private static boolean blank(byte[] bytes) {
        int any = 0;
        for (byte each : bytes) {
            any |= each;
        }
        return any == 0;
    }

    static byte[] bytes(ByteBuffer from, int n) {
        byte[] bytes = new byte[n];
        from.get(bytes);
        return bytes;
    }
}
