package fireflyhinge.lease

/** The promises that one process has made as a successor. Not thread-safe. */
internal class SuccessorPromises(private val self: ProcessId, private val times: LeaseTimes) {
    private val promises = HashMap<Int, ShardPromise>()

    /** The promise for [shard]. */
    fun of(shard: Int): ShardPromise = promises[shard] ?: ShardPromise()

    /**
     * Adopts the entries of [map] and, where this process is the new successor, gives the owner time to send a request.
     * An entry that makes this process the owner and is not in [ownWrites] was written by an owner that had stopped
     * acting, so the promise to that owner ends.
     */
    fun learn(map: ShardMap, ownWrites: Map<Int, ShardEntry>, now: Long) =
        map.shards.forEachIndexed { shard, entry ->
            val held = of(shard)
            if (entry.successor == self && held.epoch < entry.epoch) {
                promises[shard] = held.startUnder(entry, now)
            } else if (entry.epoch > held.knownEpoch) {
                val handedOver = entry.owner == self && ownWrites[shard] != entry
                promises[shard] =
                    held.copy(knownEpoch = entry.epoch, until = if (handedOver) Long.MIN_VALUE else held.until)
            }
        }

    private fun ShardPromise.startUnder(entry: ShardEntry, now: Long) =
        ShardPromise(
            knownEpoch = maxOf(knownEpoch, entry.epoch),
            until = maxOf(until, now + times.firstContactNanos),
            owner = entry.owner,
            epoch = entry.epoch,
        )

    /**
     * Promises to [owner] for [shard] under [epoch]. Returns false without a promise if a higher epoch is known, or if
     * the owner is dead and its request was delayed. [echo] is the time of the reply by this process that the owner
     * echoed, or null.
     */
    fun promise(shard: Int, owner: ProcessId, epoch: Long, echo: Long?, now: Long): Boolean {
        val held = of(shard)
        if (epoch < held.knownEpoch || (held.isFor(owner, epoch) && held.deadBy != null)) return false
        val continues = held.isFor(owner, epoch) && now <= held.until
        val runStart = held.runStart?.takeIf { continues } ?: now
        promises[shard] =
            ShardPromise(
                knownEpoch = epoch,
                until = now + times.successorWaitNanos,
                owner = owner,
                epoch = epoch,
                runStart = runStart,
                aliveAt = echo?.takeIf { it in runStart..now } ?: held.aliveAt?.takeIf { continues },
                requested = true,
            )
        return true
    }

    /**
     * Records that the owner in [entry] of [shard] was dead by [diedAt]. A promise protects only a live owner, so the
     * promise to this owner ends; a promise to another process stays.
     */
    fun recordDeath(shard: Int, entry: ShardEntry, diedAt: Long) {
        val held = of(shard)
        if (!held.isFor(entry.owner, entry.epoch)) return
        promises[shard] = held.copy(until = Long.MIN_VALUE, deadBy = minOf(held.deadBy ?: diedAt, diedAt))
    }

    /** Whether the owner in [entry] of [shard] has requested a promise, and so knows of its entry. */
    fun wasRequested(shard: Int, entry: ShardEntry): Boolean =
        of(shard).let { it.requested && it.isFor(entry.owner, entry.epoch) }

    private fun ShardPromise.isFor(owner: ProcessId, epoch: Long) = this.owner == owner && this.epoch == epoch

    /** Whether this process has promised for so long that the previous successors have lost their rights to act. */
    fun hasHistory(shard: Int): Boolean {
        val held = of(shard)
        val start = held.runStart ?: return false
        val alive = held.aliveAt ?: return false
        return alive - start >= times.historyNanos
    }

    /** Whether the owner died within [LeaseTimes.evidenceWindowNanos] of the last proof that it was alive. */
    fun diedWithinEvidenceWindow(shard: Int): Boolean {
        val held = of(shard)
        val alive = held.aliveAt ?: return false
        val dead = held.deadBy ?: return false
        return dead - alive <= times.evidenceWindowNanos
    }

    /** After a pause of this process: restarts the waiting periods and discards the rights that promises gave. */
    fun expireAll(now: Long) =
        promises.replaceAll { _, held ->
            held.copy(until = maxOf(held.until, now + times.successorWaitNanos), runStart = null, aliveAt = null)
        }
}
