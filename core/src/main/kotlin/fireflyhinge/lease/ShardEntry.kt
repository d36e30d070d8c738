package fireflyhinge.lease

import com.fasterxml.jackson.annotation.JsonProperty

/**
 * Assignment of one shard to an owner and its successor.
 *
 * @property successor process whose promise the owner needs; if null, the owner acts without a promise.
 * @property epoch number that each change of the entry increases.
 * @property ownerEpoch epoch at which the current owner became the owner; state kept by the owner is valid from this
 * epoch on.
 * @property former processes with rights from earlier entries: successors that this owner replaced, and this owner
 * itself if the previous one handed the shard over to it. Until such a process learns of this entry, it may act on
 * evidence of the previous owner's death, so a process that takes over soon after the change must rule that out first.
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
     * The entry after [next] took over the shard. State that [next] received from the owner is valid under the epoch
     * directly after the owner's. With [otherActed], another process may have acted in between, so that epoch is
     * skipped.
     */
    fun withOwner(next: ProcessId, successor: ProcessId?, otherActed: Boolean = false): ShardEntry {
        val taken = epoch + if (otherActed) 2 else 1
        return ShardEntry(owner = next, successor = successor, epoch = taken, ownerEpoch = taken)
    }

    /**
     * The entry after the owner handed the shard over to [next], its successor so far. If the owner dies before [next]
     * learns of this, [next] may act on evidence without the promise of its new [successor].
     */
    fun handedTo(next: ProcessId, successor: ProcessId?): ShardEntry =
        withOwner(next, successor).copy(former = listOf(next))
}
