package fireflyhinge.forward

/** Restricts the replicas that may serve one request. */
fun interface ReplicaFilter {
    /** Whether the replica of [state] may serve the request. */
    fun allows(state: ReplicaState): Boolean

    companion object {
        /** Allows every replica. */
        val ANY = ReplicaFilter { true }
    }
}
