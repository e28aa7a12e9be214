package sablehinge.dataplane.budget;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Secrets that the zones of an installation share: the first one signs, all of them verify, so that keys can change one
 * zone after another. HMAC-SHA256 (RFC 2104, FIPS 180-4), cut to 128 bits (RFC 2104, section 5).
 */
public final class Keys {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_BYTES = 16;
    private static final int TAG_BYTES = 16;

    private final Map<String, Mac> macs = new LinkedHashMap<>();
    private final String signing;

    /**
     * Keys by their names; the first one signs.
     *
     * @throws IllegalArgumentException if there is none, a name is no letters and digits, or a secret is short
     */
    public Keys(Map<String, byte[]> secrets) {
        if (secrets.isEmpty()) {
            throw new IllegalArgumentException("no key");
        }
        signing = secrets.keySet().iterator().next();
        secrets.forEach((name, secret) -> {
            if (!name.matches("[A-Za-z0-9]{1,16}") || secret.length < MIN_BYTES) {
                throw new IllegalArgumentException(
                        "key " + name + ": expected a name of letters and digits and " + MIN_BYTES + " bytes at least");
            }
            try {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(secret, ALGORITHM));
                macs.put(name, mac);
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** The name of the key that signs. */
    String signing() {
        return signing;
    }

    /** The tag of a text by a key; null if there is no such key. */
    String tag(String key, String text) {
        Mac mac = macs.get(key);
        if (mac == null) {
            return null;
        }
        for (int i = 0; i < text.length(); i++) {
            mac.update((byte) text.charAt(i));
        }
        byte[] complete = mac.doFinal();
        StringBuilder tag = new StringBuilder(2 * TAG_BYTES);
        for (int i = 0; i < TAG_BYTES; i++) {
            tag.append(Character.forDigit(complete[i] >> 4 & 0xf, 16))
                    .append(Character.forDigit(complete[i] & 0xf, 16));
        }
        return tag.toString();
    }

    /** Whether a tag is right; takes as long for any wrong one. */
    boolean verifies(String key, String text, String tag) {
        String right = tag(key, text);
        return right != null && MessageDigest.isEqual(bytes(right), bytes(tag));
    }

    private static byte[] bytes(String text) {
        byte[] bytes = new byte[text.length()];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) text.charAt(i);
        }
        return bytes;
    }
}
