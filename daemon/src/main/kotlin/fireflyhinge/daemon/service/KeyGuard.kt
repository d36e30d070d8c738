package fireflyhinge.daemon.service

import java.net.URLDecoder

/** Finds a caller's key in parts of a request that go to an upstream. */
internal object KeyGuard {
    /** Whether [text] holds [key], plainly or percent-encoded. */
    fun carries(text: String, key: String): Boolean = key in text || ('%' in text && key in decoded(text))

    private fun decoded(text: String): String =
        try {
            // A plus sign stands for itself in a path; keys have none that could be confused with a space.
            URLDecoder.decode(text.replace("+", "%2B"), Charsets.UTF_8)
        } catch (_: IllegalArgumentException) {
            text
        }
}
