package sablehinge.dataplane.budget;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Secrets that are shared by the zones of an installation. The first key signs and all keys verify, so that keys can be
 * rotated zone by zone. HMAC-SHA256 (RFC 2104, FIPS 180-4), truncated to 128 bits (RFC 2104, section 5).
 */
public final class Keys {

    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_SECRET_BYTES = 16;
    private static final int TAG_BYTES = 16;

    private final Map<String, Mac> macByKey = new LinkedHashMap<>();
    private final String signingKey;

    /**
     * Creates the keys by name; the first one signs.
     *
     * @throws IllegalArgumentException if there is no key, a name has other characters than letters and digits, or a
     *     secret is too short
     */
    public Keys(Map<String, byte[]> secrets) {
        if (secrets.isEmpty()) {
            throw new IllegalArgumentException("no key");
        }
        signingKey = secrets.keySet().iterator().next();
        secrets.forEach((name, secret) -> {
            if (!name.matches("[A-Za-z0-9]{1,16}") || secret.length < MIN_SECRET_BYTES) {
                throw new IllegalArgumentException("key " + name + ": expected a name of letters and digits and "
                        + MIN_SECRET_BYTES + " bytes at least");
            }
            try {
                Mac mac = Mac.getInstance(ALGORITHM);
                mac.init(new SecretKeySpec(secret, ALGORITHM));
                macByKey.put(name, mac);
            } catch (GeneralSecurityException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** The name of the key that signs. */
    String signingKey() {
        return signingKey;
    }

    /** The tag of a text by a key; null if the key is unknown. */
    String tag(String key, String text) {
        Mac mac = macByKey.get(key);
        if (mac == null) {
            return null;
        }
        for (int i = 0; i < text.length(); i++) {
            mac.update((byte) text.charAt(i));
        }
        byte[] fullTag = mac.doFinal();
        StringBuilder tag = new StringBuilder(2 * TAG_BYTES);
        for (int i = 0; i < TAG_BYTES; i++) {
            tag.append(Character.forDigit(fullTag[i] >> 4 & 0xf, 16)).append(Character.forDigit(fullTag[i] & 0xf, 16));
        }
        return tag.toString();
    }

    /** Whether a tag is valid, compared in constant time. */
    boolean verify(String key, String text, String tag) {
        String expected = tag(key, text);
        return expected != null && MessageDigest.isEqual(bytes(expected), bytes(tag));
    }

    private static byte[] bytes(String text) {
        byte[] bytes = new byte[text.length()];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = (byte) text.charAt(i);
        }
        return bytes;
    }
}
