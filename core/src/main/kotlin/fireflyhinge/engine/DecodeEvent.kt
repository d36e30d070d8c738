package fireflyhinge.engine

/** One event of a decode stream. */
sealed interface DecodeEvent {
    /** A generated token and its index in the whole answer. */
    data class Token(val id: EngineRequestId, val index: Int, val text: String) : DecodeEvent

    /** The explicit end of the stream: [tokens] is the token count of the whole answer. */
    data class End(val id: EngineRequestId, val finishReason: String, val tokens: Int) : DecodeEvent
}
