package fireflyhinge.peer

/** Reply to a message without a result. */
data class Accepted(val accepted: Boolean = true)
