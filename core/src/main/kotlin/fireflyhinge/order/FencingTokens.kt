package fireflyhinge.order

/**
 * Generates the fencing tokens of one process. A token is the epoch of the shard's map entry x 2^20 + a counter. The
 * last token of a shard is kept after its cell is closed, so that a cell that is opened again under the same epoch gets
 * higher tokens. Thread-safe.
 */
class FencingTokens {
    private val last = HashMap<Int, Long>()

    /** The next token for [shard] under [epoch], or null if the epoch has no tokens left. */
    @Synchronized
    fun next(shard: Int, epoch: Long): Long? {
        val token = maxOf(epoch * ORDERS_PER_EPOCH, (last[shard] ?: Long.MIN_VALUE) + 1)
        // A later owner may use the tokens of the next epoch.
        if (token >= (epoch + 1) * ORDERS_PER_EPOCH) return null
        last[shard] = token
        return token
    }

    companion object {
        /** Number of tokens of one epoch. */
        const val ORDERS_PER_EPOCH = 1L shl 20
    }
}
