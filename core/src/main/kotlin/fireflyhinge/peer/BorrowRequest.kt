package fireflyhinge.peer

/** The owner of [workspace]'s quota in [region] asks the owner in another region for up to [tokens]. */
data class BorrowRequest(val workspace: String, val region: String, val tokens: Double)
