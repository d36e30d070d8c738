package fireflyhinge.gateway.forward

import fireflyhinge.gateway.http.monotonicMillis

/**
 * How far one run of a request at a replica has come. Used by one coroutine.
 *
 * @param onSound called once with the monotonic time at which the response began, when it has gone on for a while.
 */
internal class RunProgress(private val onSound: (Long) -> Unit) {
    private var beganMillis: Long? = null

    /** Whether the response has gone on for [SETTLED_MILLIS] or is complete. */
    var settled = false
        private set

    /** Records that the replica sent part of its response. */
    fun recordOutput() {
        val now = monotonicMillis()
        val began = beganMillis ?: now.also { beganMillis = it }
        if (now - began >= SETTLED_MILLIS) settle(began)
    }

    /** Records that the response is complete. */
    fun recordEnd() = settle(beganMillis ?: monotonicMillis())

    private fun settle(began: Long) {
        if (settled) return
        settled = true
        onSound(began)
    }

    private companion object {
        /** A replica that crashes because of a request does so soon after it begins to respond. */
        const val SETTLED_MILLIS = 500L
    }
}
