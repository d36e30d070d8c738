package fireflyhinge.lease

/**
 * Assignment of one shard.
 *
 * @property successor process whose promise the owner needs; null lets the owner act without one.
 * @property epoch raised by each change of the entry.
 * @property since epoch at which the present owner became the owner; state kept by the owner is valid from there on.
 * @property former successors that this owner replaced. Each may still act on evidence of the owner's death until it
 * hears of this entry, so whoever takes over from the owner soon after the change must exclude that first.
 */
data class ShardEntry(
    val owner: ProcessId,
    val successor: ProcessId?,
    val epoch: Long,
    val since: Long,
    val former: List<ProcessId> = emptyList(),
) {
    /** The entry after the owner replaced its successor by [next]. */
    fun withSuccessor(next: ProcessId?, former: List<ProcessId>): ShardEntry =
        copy(successor = next, epoch = epoch + 1, former = former)

    /** The entry after [next] became the owner. */
    fun withOwner(next: ProcessId, successor: ProcessId?): ShardEntry =
        ShardEntry(owner = next, successor = successor, epoch = epoch + 1, since = epoch + 1)
}
