package fireflyhinge.forward

/**
 * Waiting requests in the order in which they get capacity. Requests that can still meet their target precede late
 * ones. Within such a class, workspaces share the capacity by weight (start-time fair queueing), and the requests of a
 * workspace are ordered by urgency, then by arrival. Not thread-safe.
 */
internal class WaitingRequests {
    private class Line {
        val requests = LinkedHashMap<String, QueuedRequest>()

        /** Capacity that the workspace has used, divided by its weight. */
        var used = 0.0
    }

    private val lines = HashMap<String, Line>()
    private val byId = HashMap<String, QueuedRequest>()

    /** Value of [Line.used] of the workspace that was served last; an idle workspace saves up no share below it. */
    private var virtualTime = 0.0

    val size: Int get() = byId.size

    operator fun contains(id: String) = id in byId

    fun add(request: QueuedRequest) {
        val line = lines.getOrPut(request.workspace) { Line() }
        if (line.requests.isEmpty()) line.used = maxOf(line.used, virtualTime)
        line.requests[request.id] = request
        byId[request.id] = request
    }

    fun remove(id: String): QueuedRequest? {
        val request = byId.remove(id) ?: return null
        lines[request.workspace]?.requests?.remove(id)
        if (lines.size > MAX_IDLE_LINES) lines.values.removeIf { it.requests.isEmpty() && it.used <= virtualTime }
        return request
    }

    /** Charges the capacity of [request] to its workspace. */
    fun charge(request: QueuedRequest) {
        val line = lines.getOrPut(request.workspace) { Line() }
        virtualTime = maxOf(virtualTime, line.used)
        line.used += request.cost / request.weight
    }

    /** Takes back a [charge]. */
    fun refund(request: QueuedRequest) {
        lines[request.workspace]?.let { it.used -= request.cost / request.weight }
    }

    /** The request that is next at [now] for [replica]; null if none may use it. */
    fun next(now: Long, replica: String): QueuedRequest? = next(now, replica, late = false) ?: next(now, replica, true)

    private fun next(now: Long, replica: String, late: Boolean): QueuedRequest? {
        val inLine = compareBy<QueuedRequest>({ it.urgency(now) }, { it.arrivedMillis })
        return lines.values
            .mapNotNull { line ->
                line.requests.values
                    .filter { it.isLate(now) == late && replica !in it.avoid }
                    .minWithOrNull(inLine)
                    ?.let { line.used to it }
            }.minWithOrNull(compareBy<Pair<Double, QueuedRequest>> { it.first }.thenBy(inLine) { it.second })
            ?.second
    }

    /** Removes and returns the requests that expire by [now]. */
    fun expire(now: Long): List<QueuedRequest> =
        byId.values.filter { it.expiresMillis <= now }.onEach { remove(it.id) }

    /**
     * Cost of what precedes a new [request]: that of its workspace, grown by the shares of the others, and no more than
     * that of all. Late requests do not precede one that can meet its target.
     */
    fun costBefore(request: QueuedRequest, now: Long): Double {
        val late = request.isLate(now)
        val ahead = byId.values.filter { late || !it.isLate(now) }
        val own = ahead.filter { it.workspace == request.workspace }.sumOf { it.cost }
        val weights = ahead.associate { it.workspace to it.weight } + (request.workspace to request.weight)
        return minOf(ahead.sumOf { it.cost }, own * weights.values.sum() / request.weight)
    }

    private companion object {
        /** Far more than the workspaces of one configuration. */
        const val MAX_IDLE_LINES = 1_000
    }
}
