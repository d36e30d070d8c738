package fireflyhinge.gateway.fleet

/**
 * Identifies the queue for decode replicas of [service] in [region]. Where there are many replicas, they are divided
 * into [parts], each of which has a queue of its own.
 */
internal data class QueueName(val service: String, val region: String, val part: Int = 0, val parts: Int = 1) {
    /** Whether the queue offers capacity of [replica] in its region. */
    fun covers(replica: String): Boolean = partOf(replica, parts) == part

    override fun toString() = if (parts == 1) "$service/$region" else "$service/$region/$part of $parts"

    companion object {
        /** The part of [parts] to which [replica] belongs. */
        fun partOf(replica: String, parts: Int): Int = Math.floorMod(replica.hashCode() * HASH_MULTIPLIER, parts)

        /** Fibonacci hashing multiplier, which spreads the hash codes of similar names. */
        private const val HASH_MULTIPLIER = -1_640_531_527
    }
}
