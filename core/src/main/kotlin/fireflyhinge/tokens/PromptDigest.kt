package fireflyhinge.tokens

import fireflyhinge.engine.ChatMessage
import java.security.MessageDigest

/**
 * What quota and scheduler need to know of a prompt.
 *
 * @property tokens estimated tokens of the prompt.
 * @property prefixHashes hashes of the prefixes at each multiple of 1,000 tokens, scoped to the workspace.
 * @property fingerprint hash of workspace, model and prompt.
 */
data class PromptDigest(val tokens: Int, val prefixHashes: List<String>, val fingerprint: String) {
    /** Computes digests. */
    companion object {
        /** Tokens of one block of the engines' prefix caches. */
        const val BLOCK_TOKENS: Int = 1000
        private const val FIELD_END: Byte = 0

        /** Digest of [messages] for [model] in [workspace]. Equal prompts of two workspaces have different hashes. */
        fun of(workspace: String, model: String, messages: List<ChatMessage>, counter: TokenCounter): PromptDigest {
            val running = MessageDigest.getInstance("SHA-256")
            running.field(workspace)
            running.field(model)
            val prefixes = ArrayList<String>()
            var tokens = 0
            messages.forEach { m ->
                running.field(m.role)
                var from = 0
                counter.tokenEnds(m.content).forEach { end ->
                    tokens++
                    if (tokens % BLOCK_TOKENS == 0) {
                        running.update(m.content.substring(from, end).toByteArray())
                        from = end
                        prefixes.add(running.snapshot())
                    }
                }
                running.field(m.content.substring(from))
            }
            return PromptDigest(tokens, prefixes, running.snapshot())
        }

        private fun MessageDigest.field(text: String) {
            update(text.toByteArray())
            update(FIELD_END)
        }

        private fun MessageDigest.snapshot(): String =
            (clone() as MessageDigest).digest().joinToString("") { "%02x".format(it) }
    }
}
