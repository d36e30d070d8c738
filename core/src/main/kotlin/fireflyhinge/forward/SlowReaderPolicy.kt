package fireflyhinge.forward

/** Decides what a VM refuses, how far it reads ahead, and which callers it aborts, so that its memory suffices. */
class SlowReaderPolicy(val limits: HeldBytesLimits) {
    /**
     * A caller for which bytes are queued.
     *
     * @property queuedBytes bytes that are freed if it is aborted.
     * @property stalledMillis time since it last took bytes, or since the first byte was queued.
     */
    class Reader<T>(val caller: T, val queuedBytes: Long, val stalledMillis: Long)

    /** Whether a new request is accepted while the VM holds [heldBytes]. */
    fun acceptsRequest(heldBytes: Long): Boolean = heldBytes < limits.refuseAt

    /** Bytes that are queued for one caller before its replica has to wait, while the VM holds [heldBytes]. */
    fun readAheadBytes(heldBytes: Long): Int =
        if (heldBytes < limits.relieveAt) limits.perCaller else minOf(limits.perCaller, MIN_READ_AHEAD_BYTES)

    /**
     * The callers among [readers] to abort while the VM holds [heldBytes], so that it holds less than
     * [HeldBytesLimits.relieveAt]. Those that have stalled longest come first. A caller that took bytes within
     * [STALLED_MILLIS] is aborted only if the VM would otherwise hold more than [HeldBytesLimits.total].
     */
    fun <T> toAbort(heldBytes: Long, readers: List<Reader<T>>): List<Reader<T>> {
        var left = heldBytes
        val order = compareByDescending<Reader<T>> { it.stalledMillis }.thenByDescending { it.queuedBytes }
        return readers.filter { it.queuedBytes > 0 }.sortedWith(order).takeWhile { reader ->
            val bound = if (reader.stalledMillis >= STALLED_MILLIS) limits.relieveAt else limits.total
            (left >= bound).also { if (it) left -= reader.queuedBytes }
        }
    }

    companion object {
        /** Milliseconds; a caller that reads steadily, however slowly, takes bytes more often. */
        const val STALLED_MILLIS = 2_000L

        /** Bytes queued for a caller at any time; the default of the network library. */
        const val MIN_READ_AHEAD_BYTES = 64 * 1024
    }
}
