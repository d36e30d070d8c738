package fireflyhinge.gateway.forward

import fireflyhinge.forward.Admission
import fireflyhinge.forward.RequestMetadata
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.nowMillis
import kotlin.random.Random

/**
 * One request of a caller on its way through the system. Used by one coroutine.
 *
 * @property endsAtMillis monotonic time at which the request must have its final answer.
 */
internal class RequestContext(
    val request: CallerRequest,
    val metadata: RequestMetadata,
    val admission: Admission,
    val service: String,
    val endsAtMillis: Long,
) {
    /** Tokens that the request costs its workspace. */
    var cost = 0.0

    /** Milliseconds from the request's arrival to its first event, or null before. */
    var firstEventMillis: Long? = null
        private set

    /** Longest pause between two events that were handed on, in milliseconds. */
    var longestPauseMillis = 0L
        private set

    private var lastEventAt = 0L
    private var runs = 0

    /** Whether a replica may have begun to run the request. */
    val mayHaveRun: Boolean get() = runs > 0

    /** Replicas that were tried, with what became of it; for the log. */
    val attemptLog = ArrayList<String>()

    /** Milliseconds until the end. */
    val remaining: Long get() = endsAtMillis - nowMillis()

    /** An event was handed on to the caller. */
    fun handedOn() {
        val now = nowMillis()
        if (firstEventMillis == null) {
            firstEventMillis = now - request.arrivedMillis
        } else {
            longestPauseMillis = maxOf(longestPauseMillis, now - lastEventAt)
        }
        lastEventAt = now
    }

    /** The request is about to be sent to a replica that will run it. */
    fun sending() {
        runs++
    }

    /** A send that was counted by [sending] reached no replica, or the replica states that it did not run it. */
    fun didNotRun() {
        runs--
    }

    /** Begins attempts. */
    companion object {
        /** The context of [request] to a service of its route; it ends with the route's time-out or the caller's. */
        fun of(request: CallerRequest, metadata: RequestMetadata, admission: Admission): RequestContext {
            val route = admission.route
            val service = route.target(Random.nextDouble()).orEmpty()
            val time = minOf(route.timeoutMillis, metadata.deadlineMillis ?: route.timeoutMillis)
            val context = RequestContext(request, metadata, admission, service, request.arrivedMillis + time)
            return context.also { it.cost = admission.cost(metadata).toDouble() }
        }
    }
}
