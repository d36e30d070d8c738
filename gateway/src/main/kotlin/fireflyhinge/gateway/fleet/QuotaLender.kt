package fireflyhinge.gateway.fleet

/** Asks other VMs for tokens of a workspace. */
internal fun interface QuotaLender {
    /** Borrows [tokens] of [workspace]; 0 if no VM lends them. */
    suspend fun borrow(workspace: String, tokens: Double): Double
}
