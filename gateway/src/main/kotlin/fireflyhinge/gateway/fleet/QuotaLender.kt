package fireflyhinge.gateway.fleet

/** Asks other VMs for tokens of a workspace. */
internal fun interface QuotaLender {
    /** Borrows about [tokens] of [workspace]. Returns how many were lent, which may be less or a little more. */
    suspend fun borrow(workspace: String, tokens: Double): Double
}
