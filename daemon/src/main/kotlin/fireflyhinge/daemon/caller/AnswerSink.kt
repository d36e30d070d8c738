package fireflyhinge.daemon.caller

/** Takes the tokens of one answer in order. */
fun interface AnswerSink {
    /** Takes the next token; false when the caller can no longer be written to. */
    fun token(text: String): Boolean
}
