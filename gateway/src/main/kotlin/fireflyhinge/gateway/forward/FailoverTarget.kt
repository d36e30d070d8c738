package fireflyhinge.gateway.forward

/** Another replica on which a request can continue. */
internal interface FailoverTarget {
    /** Acquires what the request needs there. Returns whether the request can be sent there at once. */
    suspend fun prepare(): Boolean

    /** Sends the request to the prepared replica. Returns whether the replica has taken it and responds. */
    suspend fun start(): Boolean

    /** Releases what [prepare] acquired, if anything, and ends the run that [start] began. */
    fun discard()
}
