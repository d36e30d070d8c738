package fireflyhinge.daemon.admin

import java.security.MessageDigest
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

/** Creates API keys and their hashes. */
object ApiKey {
    private const val RANDOM_BYTES = 32
    private val random = SecureRandom()

    /** A new key of 256 random bits. */
    fun generate(): String {
        val bytes = ByteArray(RANDOM_BYTES).also(random::nextBytes)
        return "fh_" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    /** Lower-case hexadecimal SHA-256 hash of [key]. */
    fun hash(key: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.toByteArray()))
}
