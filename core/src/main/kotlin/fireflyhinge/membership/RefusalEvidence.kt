package fireflyhinge.membership

/**
 * Counts refused connection attempts to one VM. The kernel of a live VM refuses a connection only if no process listens
 * on the port; connections to a paused process are still accepted. Three refusals over 1 s therefore prove that the
 * process had ended by the first one.
 */
internal data class RefusalEvidence(val firstAt: Long, val count: Int, val lastAt: Long) {
    val proven: Boolean get() = count >= NEEDED && lastAt - firstAt >= SPAN_MILLIS

    fun next(now: Long): RefusalEvidence = copy(count = count + 1, lastAt = now)

    companion object {
        private const val NEEDED = 3
        private const val SPAN_MILLIS = 1_000L
    }
}
