package fireflyhinge.daemon.admin

import java.security.MessageDigest

/** Checks operators' bearer tokens. Without a configured token every call is refused. */
class OperatorAuth(tokens: Collection<String>) {
    private val accepted = tokens.filter { it.isNotBlank() }.map { it.toByteArray() }

    /** Whether the `Authorization` [header] carries an accepted token; the time does not depend on the content. */
    fun accepts(header: String?): Boolean {
        val prefix = "Bearer "
        if (header == null || !header.startsWith(prefix, ignoreCase = true)) return false
        val token = header.substring(prefix.length).trim().toByteArray()
        return accepted.count { MessageDigest.isEqual(it, token) } > 0
    }
}
