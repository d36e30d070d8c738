package fireflyhinge.auth

import java.security.MessageDigest

/** Hash under which a key is stored: SHA-256 in lower-case hexadecimal. */
fun keyHash(key: String): String = sha256Hex(key.toByteArray())

/** SHA-256 of [bytes] in lower-case hexadecimal. */
fun sha256Hex(bytes: ByteArray): String =
    MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }
