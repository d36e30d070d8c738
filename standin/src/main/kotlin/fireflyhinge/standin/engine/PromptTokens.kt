package fireflyhinge.standin.engine

import fireflyhinge.engine.PrefillRequest
import java.security.MessageDigest

/** Tokens of a prompt (whitespace-separated words, resumed tokens last) and the names of its full blocks. */
internal class PromptTokens(private val request: PrefillRequest) {
    val words: List<String> =
        request.messages.flatMap { m -> m.content.split(WHITESPACE).filter { it.isNotEmpty() } } + request.resumedTokens

    /** Names of the full blocks of [blockTokens] tokens; each depends on scope, model and all tokens before its end. */
    fun blocks(blockTokens: Int): List<String> {
        var previous = "${request.cacheScope}/${request.model}"
        return words.chunked(blockTokens).filter { it.size == blockTokens }.map { block ->
            previous = digest(previous + block.joinToString(separator = " "))
            previous
        }
    }

    private fun digest(text: String): String =
        MessageDigest
            .getInstance("SHA-256")
            .digest(text.toByteArray())
            .take(BLOCK_NAME_BYTES)
            .joinToString(separator = "") { "%02x".format(it) }

    private companion object {
        const val BLOCK_NAME_BYTES = 12
        val WHITESPACE = Regex("\\s+")
    }
}
