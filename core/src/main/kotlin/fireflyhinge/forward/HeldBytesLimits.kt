package fireflyhinge.forward

/**
 * Limits in bytes for what a VM holds for callers and replicas: request bodies, buffered responses, bytes read from
 * replicas and not passed on, and bytes queued for callers.
 *
 * @property refuseAt new requests are refused while the VM holds this much; request bodies never exceed it.
 * @property relieveAt callers that have stalled are aborted, and nothing is read ahead for callers that read slowly.
 * @property total whatever they read, the callers that have stalled longest are aborted.
 * @property perCaller bytes of a stream that are queued for one caller before its replica has to wait.
 * @property largeResponses bytes of the responses of over 32 KB that one connection pool buffers.
 */
data class HeldBytesLimits(
    val refuseAt: Long,
    val relieveAt: Long,
    val total: Long,
    val perCaller: Int,
    val largeResponses: Long,
) {
    companion object {
        private const val PERCENT = 100

        /** Percentages of the heap. Without load, a VM with a heap of 110 MB needs about a quarter of it. */
        private const val REFUSE_HEAP_PERCENT = 36
        private const val RELIEVE_HEAP_PERCENT = 42
        private const val TOTAL_HEAP_PERCENT = 48

        private const val LARGE_RESPONSES_HEAP_PERCENT = 12

        /** Bytes; responses to several of the largest calls at a time. */
        private const val MAX_LARGE_RESPONSES_BYTES = 14L * 1024 * 1024

        /** Bytes; more than the longest stream (312 KB), so that its replica never waits for a caller. */
        private const val MAX_PER_CALLER_BYTES = 384 * 1024

        /** Part of the heap that one caller may take. */
        private const val PER_CALLER_HEAP_DIVISOR = 200

        /** The limits of a process with a heap of [maxHeapBytes]. */
        fun of(maxHeapBytes: Long): HeldBytesLimits =
            HeldBytesLimits(
                refuseAt = maxHeapBytes / PERCENT * REFUSE_HEAP_PERCENT,
                relieveAt = maxHeapBytes / PERCENT * RELIEVE_HEAP_PERCENT,
                total = maxHeapBytes / PERCENT * TOTAL_HEAP_PERCENT,
                perCaller = minOf(MAX_PER_CALLER_BYTES.toLong(), maxHeapBytes / PER_CALLER_HEAP_DIVISOR).toInt(),
                largeResponses =
                minOf(MAX_LARGE_RESPONSES_BYTES, maxHeapBytes / PERCENT * LARGE_RESPONSES_HEAP_PERCENT),
            )
    }
}
