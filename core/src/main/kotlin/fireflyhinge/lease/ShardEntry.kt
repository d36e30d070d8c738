package fireflyhinge.lease

import com.fasterxml.jackson.annotation.JsonProperty

/**
 * Assignment of one shard.
 *
 * @property successor process whose promise the owner needs; null lets the owner act without one.
 * @property epoch raised by each change of the entry.
 * @property ownerEpoch epoch at which the current owner became the owner; state kept by the owner is valid from this
 * epoch on.
 * @property former processes with rights from earlier entries: successors that this owner replaced, and this owner
 * itself if the previous one handed the shard to it. Each may still act on evidence of the previous owner's death until
 * it hears of this entry, so whoever takes over soon after the change must exclude that first.
 */
data class ShardEntry(
    val owner: ProcessId,
    val successor: ProcessId?,
    val epoch: Long,
    @get:JsonProperty("since")
    @param:JsonProperty("since")
    val ownerEpoch: Long,
    val former: List<ProcessId> = emptyList(),
) {
    /** The entry after the owner replaced its successor by [next]. */
    fun withSuccessor(next: ProcessId?, former: List<ProcessId>): ShardEntry =
        copy(successor = next, epoch = epoch + 1, former = former)

    /**
     * The entry after [next] took the shard over. State that [next] holds from the owner is valid under the epoch right
     * after the owner's. So that epoch is left out if [otherActed], a process that may have acted in between.
     */
    fun withOwner(next: ProcessId, successor: ProcessId?, otherActed: Boolean = false): ShardEntry {
        val taken = epoch + if (otherActed) 2 else 1
        return ShardEntry(owner = next, successor = successor, epoch = taken, ownerEpoch = taken)
    }

    /**
     * The entry after the owner handed the shard to [next], its successor so far. If the owner dies before [next] hears
     * of this, [next] may act on evidence without the promise of its new [successor].
     */
    fun handedTo(next: ProcessId, successor: ProcessId?): ShardEntry =
        withOwner(next, successor).copy(former = listOf(next))
}
