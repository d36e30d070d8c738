package fireflyhinge.gateway.forward

import fireflyhinge.forward.StopAdmission
import fireflyhinge.gateway.http.monotonicMillis

/** The planned stop of this VM, if it was told to stop, and what that means for requests. Thread-safe. */
internal class PlannedStop {
    /** Monotonic milliseconds at which requests that still run are ended; null while the VM does not stop. */
    @Volatile
    var endMillis: Long? = null

    private val admission = StopAdmission()

    /** Whether requests that still run are being ended. */
    val ended: Boolean get() = endMillis?.let { monotonicMillis() >= it } ?: false

    /** Whether the request of [context] may still be taken. */
    fun admits(context: RequestContext): Boolean {
        val end = endMillis ?: return true
        return admission.admits(context.admission.route, context.remainingMillis, end - monotonicMillis())
    }

    /** Records that the request of [context] got its response, unless that was a refusal. */
    fun recordEnd(context: RequestContext) {
        if (!context.mayHaveRun) return
        admission.recordEnd(context.admission.route, monotonicMillis() - context.request.arrivedMillis)
    }
}
