package fireflyhinge.gateway.forward

import fireflyhinge.forward.Admission
import fireflyhinge.forward.RequestMetadata
import fireflyhinge.forward.RequestTraits
import fireflyhinge.forward.StreamOrigin
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.monotonicMillis
import kotlin.random.Random

/**
 * State of one caller's request from admission to its outcome. Used by one coroutine.
 *
 * @property deadlineMillis monotonic time by which the request must have its final response.
 */
internal class RequestContext(
    val request: CallerRequest,
    val metadata: RequestMetadata,
    val admission: Admission,
    service: String,
    val deadlineMillis: Long,
) {
    /** The service whose replicas serve the request. */
    var service = service
        private set

    /** Where the stream began that the caller has events of; set before its first event is forwarded. */
    var origin: StreamOrigin? = null
        set(value) {
            field = value
            value?.let { service = it.service }
        }

    /** Traits that the request shares with others. */
    val traits: RequestTraits by lazy(LazyThreadSafetyMode.NONE) {
        RequestTraits.of(metadata, service) {
            val caller = admission.workspace?.name.orEmpty()
            listOf(request.method, request.uri, caller).map { it.toByteArray() } + request.body
        }
    }

    /** Whether requests with the traits of this one crash replicas, so that it may be sent to no further one. */
    var barred = false

    /** When the caller may return if the queue refused the request; null if it did not tell. */
    var retryAfterMillis: Long? = null

    /** Tokens charged to the workspace. */
    var cost = 0.0

    /** Milliseconds from the request's arrival to its first event, or null until then. */
    var firstEventMillis: Long? = null
        private set

    /** Longest pause between two forwarded events, in milliseconds. */
    var longestPauseMillis = 0L
        private set

    private var lastEventAt = 0L
    private var runs = 0

    /** Whether a replica may have started to run the request. */
    val mayHaveRun: Boolean get() = runs > 0

    /** Replicas that were tried and the outcome of each, for the request log. */
    val attemptLog = ArrayList<String>()

    /** Milliseconds until [deadlineMillis]; may be negative. */
    val remainingMillis: Long get() = deadlineMillis - monotonicMillis()

    /** Records that an event was forwarded to the caller. */
    fun recordForwardedEvent() {
        val now = monotonicMillis()
        if (firstEventMillis == null) {
            firstEventMillis = now - request.arrivedMillis
        } else {
            longestPauseMillis = maxOf(longestPauseMillis, now - lastEventAt)
        }
        lastEventAt = now
    }

    /** Records that the request is about to be sent to a replica that will run it. */
    fun recordSend() {
        runs++
    }

    /** Takes back a [recordSend] that reached no replica, or whose replica states that it did not run the request. */
    fun recordNotRun() {
        runs--
    }

    companion object {
        /** Creates the context of [request] for a service of its route. The shorter time-out holds: route or caller. */
        fun of(request: CallerRequest, metadata: RequestMetadata, admission: Admission): RequestContext {
            val route = admission.route
            val service = route.target(Random.nextDouble()).orEmpty()
            val time = minOf(route.timeoutMillis, metadata.deadlineMillis ?: route.timeoutMillis)
            return RequestContext(request, metadata, admission, service, request.arrivedMillis + time)
                .also { it.cost = admission.cost(metadata).toDouble() }
        }
    }
}
