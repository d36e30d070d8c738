package fireflyhinge.standin.engine

/** Why the engine refuses a call before it runs anything. */
internal data class Refusal(val status: Int, val reason: String)
