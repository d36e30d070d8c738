package fireflyhinge.order

/**
 * Fencing tokens of one process: epoch of the shard's map entry x 2^20 + a counter. The last token of each shard
 * outlives its cells, so that a cell that is set up again under the same epoch goes on with higher tokens. Thread-safe.
 */
class FencingTokens {
    private val last = HashMap<Int, Long>()

    /** The next token for [shard] under [epoch], or null if the counter of the epoch is used up. */
    @Synchronized
    fun next(shard: Int, epoch: Long): Long? {
        val token = maxOf(epoch * ORDERS_PER_EPOCH, (last[shard] ?: Long.MIN_VALUE) + 1)
        // A token of the next epoch might be one that a later owner uses.
        if (token >= (epoch + 1) * ORDERS_PER_EPOCH) return null
        last[shard] = token
        return token
    }

    companion object {
        /** Tokens of one epoch. */
        const val ORDERS_PER_EPOCH = 1L shl 20
    }
}
