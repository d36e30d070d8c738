package fireflyhinge.quota

/**
 * Buckets of one shard under the epoch in force. With each epoch, they start at the floors held from the previous
 * owner, or empty. Not thread-safe; times are monotonic nanoseconds.
 */
internal class BucketTable {
    private val books = HashMap<String, ChargeLedger>()
    private var openedAt = 0L
    private var held: ReceivedFloors? = null
    private var inherited: Map<String, Long> = emptyMap()

    /** Epoch in force; 0 before the first. */
    var epoch = 0L
        private set

    /** Starts [newEpoch] if it is later than the one in force; tokens accrue from [now] on. */
    fun open(newEpoch: Long, now: Long) {
        if (newEpoch <= epoch) return
        // A process that acts was the successor under the epoch before.
        inherited = held?.takeIf { it.epoch == newEpoch - 1 }?.tokens.orEmpty()
        epoch = newEpoch
        openedAt = now
        books.clear()
    }

    /** Bucket of [workspace] with its tokens accrued, or null if [actingEpoch] is not in force. */
    fun book(workspace: String, limits: QuotaLimits, actingEpoch: Long, now: Long): ChargeLedger? {
        if (actingEpoch != epoch) return null
        val book = books.getOrPut(workspace) { ChargeLedger(epoch, limits, startLevel(workspace, limits), openedAt) }
        book.advance(limits, now)
        return book
    }

    private fun startLevel(workspace: String, limits: QuotaLimits): Double =
        minOf(inherited[workspace]?.toDouble() ?: 0.0, limits.depth) - limits.rate * SHORT_GRANT_SECONDS

    /** Bucket of [workspace] if it is in use. */
    operator fun get(workspace: String): ChargeLedger? = books[workspace]

    /** The successor holds the floors that were sent with [sequence] under [entryEpoch]. */
    fun acknowledged(entryEpoch: Long, sequence: Long) =
        books.values.forEach { it.floors.acknowledged(entryEpoch, sequence) }

    /** Keeps the floors that the owner sent, unless newer ones are held. */
    fun storeFloors(floors: ReceivedFloors) {
        if (floors.replaces(held)) held = floors
    }

    private companion object {
        /** The previous owner may have granted what accrues within a short wait (90 ms) after it stopped. */
        const val SHORT_GRANT_SECONDS = 0.1
    }
}
