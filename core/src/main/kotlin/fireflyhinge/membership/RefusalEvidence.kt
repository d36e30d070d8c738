package fireflyhinge.membership

/**
 * Counts refused connection attempts to one VM. The kernel of a live VM refuses only when no process has the port; a
 * paused process still accepts. Three refusals over 1 s therefore prove that the process had ended at the first.
 */
internal data class RefusalEvidence(val firstAt: Long, val count: Int, val lastAt: Long) {
    val proven: Boolean get() = count >= NEEDED && lastAt - firstAt >= SPAN_MILLIS

    fun next(now: Long): RefusalEvidence = copy(count = count + 1, lastAt = now)

    companion object {
        private const val NEEDED = 3
        private const val SPAN_MILLIS = 1_000L
    }
}
