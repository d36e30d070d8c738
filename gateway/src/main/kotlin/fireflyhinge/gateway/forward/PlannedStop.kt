package fireflyhinge.gateway.forward

import fireflyhinge.forward.StopAdmission
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.result.Outcome

/** The planned stop of this VM, if it was told to stop, and what that means for requests. Thread-safe. */
internal class PlannedStop {
    /** Monotonic milliseconds at which requests that still run are ended; null while the VM does not stop. */
    @Volatile
    var endMillis: Long? = null

    private val admission = StopAdmission()

    /** Whether requests that still run are being ended. */
    val ended: Boolean get() = endMillis?.let { monotonicMillis() >= it } ?: false

    /** Returns the refusal of the request of [context], or null if it may still be taken. */
    fun refusal(context: RequestContext): Outcome.Failure? {
        val end = endMillis ?: return null
        val admitted = admission.admits(context.admission.route, context.remainingMillis, end - monotonicMillis())
        return if (admitted) null else FailureMapper.stopped(context)
    }

    /** Records that the request of [context] got its response, unless that was a refusal. */
    fun recordEnd(context: RequestContext) {
        if (!context.mayHaveRun) return
        admission.recordEnd(context.admission.route, monotonicMillis() - context.request.arrivedMillis)
    }
}
