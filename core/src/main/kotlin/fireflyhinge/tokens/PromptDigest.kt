package fireflyhinge.tokens

import fireflyhinge.engine.ChatMessage
import java.security.MessageDigest

/**
 * Summary of a prompt for quota and scheduling.
 *
 * @property tokens estimated number of tokens in the prompt.
 * @property prefixHashes hashes of the prefixes at each multiple of 1,000 tokens, scoped to the workspace.
 * @property fingerprint SHA-256 of workspace, model and prompt.
 */
data class PromptDigest(val tokens: Int, val prefixHashes: List<String>, val fingerprint: String) {
    /** Computes digests with SHA-256. */
    companion object {
        /** Tokens per block of the engines' prefix caches. */
        const val BLOCK_TOKENS: Int = 1000
        private const val FIELD_END: Byte = 0

        /** Digest of [messages] for [model] in [workspace]. Hashes of equal prompts differ between workspaces. */
        fun of(workspace: String, model: String, messages: List<ChatMessage>, counter: TokenCounter): PromptDigest {
            val running = MessageDigest.getInstance("SHA-256")
            running.field(workspace)
            running.field(model)
            val prefixes = ArrayList<String>()
            var tokens = 0
            messages.forEach { message ->
                running.field(message.role)
                var start = 0
                counter.tokenEnds(message.content).forEach { end ->
                    tokens++
                    if (tokens % BLOCK_TOKENS == 0) {
                        running.update(message.content.substring(start, end).toByteArray())
                        start = end
                        prefixes.add(running.snapshot())
                    }
                }
                running.field(message.content.substring(start))
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
