package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CallBackoff
import kotlinx.coroutines.delay

/** Counts calls to the store that succeeded but were of no use, and pauses after each: every call is billed. */
internal class UselessCalls(private val backoff: CallBackoff) {
    private var inARow = 0

    /** All such calls. */
    @Volatile
    var total = 0L
        private set

    /** Records such a call and pauses. */
    suspend fun pause() {
        inARow++
        total++
        delay(backoff.millis(inARow))
    }

    /** Records a call that was of use. */
    fun reset() {
        inARow = 0
    }
}
