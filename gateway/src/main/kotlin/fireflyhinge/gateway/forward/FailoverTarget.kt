package fireflyhinge.gateway.forward

/** Another replica on which a request can continue. */
internal interface FailoverTarget {
    /** Acquires what the request needs there. Returns whether the request can continue there at once. */
    suspend fun prepare(): Boolean

    /** Releases what [prepare] acquired, if anything. */
    fun discard()
}
