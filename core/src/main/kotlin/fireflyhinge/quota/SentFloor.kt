package fireflyhinge.quota

/**
 * A floor of [tokens] sent to the successor under [epoch] of the shard's map entry at [sentAt], in monotonic
 * nanoseconds. Of two floors of the same epoch, the successor keeps the one with the higher [sequence].
 */
internal data class SentFloor(val epoch: Long, val sequence: Long, val tokens: Double, val sentAt: Long)
