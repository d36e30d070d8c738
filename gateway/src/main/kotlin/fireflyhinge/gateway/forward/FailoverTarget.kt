package fireflyhinge.gateway.forward

/** Another replica at which a request may go on. */
internal interface FailoverTarget {
    /** Prepares it. Returns whether the request can go on there at once. */
    suspend fun prepare(): Boolean

    /** Gives up what was prepared, if anything was. */
    fun discard()
}
