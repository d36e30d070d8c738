package fireflyhinge.measure

import fireflyhinge.systemtest.WorkspaceSpec

/** Tells whether requests were within their workspace's rate, by a token bucket over the whole fleet. */
internal class RateModel(private val spec: WorkspaceSpec) {
    private var level = spec.burst
    private var updatedAt = 0L

    /** Charges the request if it is within the rate. Must be called in order of the send times. */
    fun charge(request: PlannedRequest): Boolean {
        level = minOf(spec.burst, level + (request.atNanos - updatedAt) / NANOS_PER_SECOND * spec.rate)
        updatedAt = request.atNanos
        val cost = (request.promptTokens + request.maxTokens).toDouble()
        if (level < cost) return false
        level -= request.promptTokens + request.outputTokens
        return true
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
