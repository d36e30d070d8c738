package fireflyhinge.peer

/** Answer to a message that has no result. */
data class Accepted(val accepted: Boolean = true)
