package fireflyhinge.daemon.caller

import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.PrefillResult

/** The part of an answer that was delivered, over all attempts. Used by one thread. */
internal class AnswerProgress(private val sink: AnswerSink) {
    private val sent = ArrayList<String>()

    /** Tokens delivered so far. */
    val tokens: List<String> get() = sent.toList()

    /** Index of the next token to deliver. */
    val next: Int get() = sent.size

    /** Whether an upstream may have run part of the request. */
    var ran = false

    /** Tokens of the prompt as the engine counted them, or null before the first prefill. */
    var promptTokens: Int? = null
        private set

    /** Tokens that the first prefill took from the prefix cache. */
    var cachedTokens = 0
        private set

    /** Notes the result of a prefill. The counts of the first one are kept, as later ones read resumed tokens too. */
    fun prefilled(result: PrefillResult) {
        ran = true
        if (promptTokens != null) return
        promptTokens = result.promptTokens - next
        cachedTokens = result.cachedTokens
    }

    /** Delivers [token] if it is the next one of attempt [id]; tokens of other attempts and repeats are dropped. */
    fun accept(token: DecodeEvent.Token, id: EngineRequestId): Delivery =
        when {
            token.id != id || token.index < next -> Delivery.DROPPED
            token.index > next -> Delivery.GAP
            !sink.token(token.text) -> Delivery.CALLER_GONE
            else -> Delivery.SENT.also { sent.add(token.text) }
        }
}
