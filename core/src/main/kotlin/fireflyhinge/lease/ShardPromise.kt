package fireflyhinge.lease

/**
 * A successor's state for one shard.
 *
 * @property knownEpoch highest epoch that this process has heard of.
 * @property until moment before which this process does not act.
 * @property runStart start of the unbroken series of promises to [owner] under [epoch].
 * @property aliveAt moment at which the owner was certainly alive: the owner echoed an answer sent then.
 * @property deadBy moment at which the owner was certainly dead, or null without evidence of its death.
 * @property asked whether [owner] has asked under [epoch], and so knows of its entry.
 */
internal data class ShardPromise(
    val knownEpoch: Long = 0,
    val until: Long = Long.MIN_VALUE,
    val owner: ProcessId? = null,
    val epoch: Long = 0,
    val runStart: Long? = null,
    val aliveAt: Long? = null,
    val deadBy: Long? = null,
    val asked: Boolean = false,
)
