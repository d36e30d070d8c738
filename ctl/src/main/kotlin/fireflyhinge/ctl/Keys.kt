package fireflyhinge.ctl

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

/** Creates keys here, so that only a hash travels to the daemon and a lost answer does not lose the key. */
internal object Keys {
    private const val RANDOM_BYTES = 32

    fun generate(): String {
        val bytes = ByteArray(RANDOM_BYTES).also { SecureRandom().nextBytes(it) }
        return "fh_" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    fun hash(key: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))
}
