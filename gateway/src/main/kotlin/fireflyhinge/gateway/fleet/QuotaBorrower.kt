package fireflyhinge.gateway.fleet

/** Borrows tokens of a workspace from other VMs and returns surplus tokens to them. */
internal interface QuotaBorrower {
    /** Borrows [tokens] of [workspace]. Returns how many were lent, which may be less or a little more. */
    suspend fun borrow(workspace: String, tokens: Double): Double

    /** Returns [tokens] of [workspace] to a VM that holds a share of its limit. */
    suspend fun repay(workspace: String, tokens: Double)
}
