package fireflyhinge.gateway.fleet

/**
 * Result of borrowing.
 *
 * @property tokens tokens lent, which may be less than asked for or a little more.
 * @property complete whether all holders of the limit answered, and all of them long enough after their start to have
 * the tokens of their shares. Then too few tokens mean that the workspace is over its limit.
 */
internal data class Loan(val tokens: Double, val complete: Boolean)

/** Borrows tokens of a workspace from other VMs and returns surplus tokens to them. */
internal interface QuotaBorrower {
    /** Borrows [tokens] of [workspace]. */
    suspend fun borrow(workspace: String, tokens: Double): Loan

    /** Returns [tokens] of [workspace] to a VM that holds a share of its limit. */
    suspend fun repay(workspace: String, tokens: Double)
}
