package sablehinge.tools.replay.run;

import java.util.HexFormat;

/** Logged keys as the number that the protocol's cookie contains. */
public final class Keys {

    private Keys() {}

    /** 16 hexadecimal digits, the same for a key each time: FNV-1a over its characters, mixed. */
    public static String number(String key) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
        }
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        return HexFormat.of().toHexDigits(hash ^ hash >>> 33);
    }
}
