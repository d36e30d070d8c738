package fireflyhinge.peer

/** Tokens that the lender has debited from its own bucket; 0 if it lends none or does not own the quota. */
data class BorrowReply(val tokens: Double)
