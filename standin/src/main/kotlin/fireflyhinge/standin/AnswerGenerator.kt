package fireflyhinge.standin

import fireflyhinge.engine.ChatMessage
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.SplittableRandom

/**
 * The answer that an engine gives to [messages]; a pure function, so that tests can compute the expected bytes. The
 * natural length is 1 to 200 tokens, or N if the last message contains the word `tokens=N`.
 */
class AnswerGenerator(model: String, messages: List<ChatMessage>) {
    private val seed: Long = seedOf(model = model, messages = messages)
    private val naturalCount: Int = requestedCount(messages) ?: (1 + Math.floorMod(mix(seed), MAX_NATURAL_TOKENS))

    /** Token [index] of the answer, its trailing space included. */
    fun token(index: Int): String {
        val bits = mix(seed + index)
        val word = WORDS[Math.floorMod(bits, WORDS.size)]
        return word + Math.floorMod(bits ushr HALF, SUFFIXES).toString(SUFFIX_RADIX) + " "
    }

    /** Tokens of the whole answer under a limit of [maxTokens]. */
    fun count(maxTokens: Int): Int = minOf(naturalCount, maxTokens)

    /** `stop` if the answer ends by itself, `length` if [maxTokens] cuts it. */
    fun finishReason(maxTokens: Int): String = if (naturalCount <= maxTokens) "stop" else "length"

    /** The whole answer under a limit of [maxTokens]. */
    fun text(maxTokens: Int): String = (0 until count(maxTokens)).joinToString(separator = "") { token(it) }

    private companion object {
        const val MAX_NATURAL_TOKENS = 200
        const val SUFFIXES = 46_656
        const val SUFFIX_RADIX = 36
        const val HALF = 32
        val WORDS = "amber basin cedar delta ember fjord grove heron inlet jetty knoll ledge marsh north".split(' ')
        val COUNT_WORD = Regex("(?:^|\\s)tokens=(\\d{1,6})(?:\\s|$)")

        fun requestedCount(messages: List<ChatMessage>): Int? =
            messages.lastOrNull()?.let { COUNT_WORD.find(it.content) }?.groupValues?.get(1)?.toInt()?.coerceAtLeast(1)

        fun seedOf(model: String, messages: List<ChatMessage>): Long {
            val digest = MessageDigest.getInstance("SHA-256")
            // Each part is preceded by its length, so that different messages never give the same input.
            (listOf(model) + messages.flatMap { listOf(it.role, it.content) }).forEach { part ->
                val bytes = part.toByteArray()
                digest.update("${bytes.size}:".toByteArray())
                digest.update(bytes)
            }
            return ByteBuffer.wrap(digest.digest()).getLong()
        }

        /** Mixes the bits of [value] evenly; `SplittableRandom` scrambles its seed in this way. */
        fun mix(value: Long): Long = SplittableRandom(value).nextLong()
    }
}
