package fireflyhinge.gateway.forward

import fireflyhinge.gateway.http.monotonicMillis

/** How far one run of a request at a replica has come. Used by one coroutine. */
internal class RunProgress {
    private var firstOutputMillis: Long? = null

    /** Whether the replica has gone on for [SETTLED_MILLIS] after the first part of its response. */
    val settled: Boolean get() = firstOutputMillis?.let { monotonicMillis() - it >= SETTLED_MILLIS } ?: false

    /** Records that the replica sent part of its response. */
    fun recordOutput() {
        if (firstOutputMillis == null) firstOutputMillis = monotonicMillis()
    }

    private companion object {
        /** A replica that crashes because of a request does so soon after it begins to respond. */
        const val SETTLED_MILLIS = 500L
    }
}
