package fireflyhinge.quota

/**
 * Buckets of one shard under the current epoch. In each epoch they start at the floors received from the previous
 * owner, or empty. Not thread-safe; times are monotonic nanoseconds.
 */
internal class BucketTable {
    private val ledgers = HashMap<String, ChargeLedger>()
    private var openedAt = 0L
    private var received: ReceivedFloors? = null
    private var inherited: Map<String, Long> = emptyMap()

    /** Current epoch; 0 before the first. */
    var epoch = 0L
        private set

    /** Starts [newEpoch] if it is later than the current one; tokens accrue from [now] on. */
    fun open(newEpoch: Long, now: Long) {
        if (newEpoch <= epoch) return
        // A process that becomes the owner was the successor in the previous epoch.
        inherited = received?.takeIf { it.epoch == newEpoch - 1 }?.tokens.orEmpty()
        epoch = newEpoch
        openedAt = now
        ledgers.clear()
    }

    /** Ledger of [workspace] with tokens accrued until [now], or null if [actingEpoch] is not the current epoch. */
    fun ledger(workspace: String, limits: QuotaLimits, actingEpoch: Long, now: Long): ChargeLedger? {
        if (actingEpoch != epoch) return null
        val ledger =
            ledgers.getOrPut(workspace) { ChargeLedger(epoch, limits, startLevel(workspace, limits), openedAt) }
        ledger.advance(limits, now)
        return ledger
    }

    private fun startLevel(workspace: String, limits: QuotaLimits): Double =
        minOf(inherited[workspace]?.toDouble() ?: 0.0, limits.depth) - limits.rate * SHORT_GRANT_SECONDS

    /** Ledger of [workspace], or null if it is not in use. */
    operator fun get(workspace: String): ChargeLedger? = ledgers[workspace]

    /** The successor has acknowledged the floors that were sent with [sequence] under [entryEpoch]. */
    fun acknowledged(entryEpoch: Long, sequence: Long) =
        ledgers.values.forEach { it.floors.acknowledged(entryEpoch, sequence) }

    /** Stores floors received from the owner, unless newer ones are stored already. */
    fun storeFloors(floors: ReceivedFloors) {
        if (floors.replaces(received)) received = floors
    }

    private companion object {
        /** The previous owner may have granted tokens that accrue within a short wait (90 ms) after it stopped. */
        const val SHORT_GRANT_SECONDS = 0.1
    }
}
