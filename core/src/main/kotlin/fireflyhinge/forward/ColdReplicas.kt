package fireflyhinge.forward

/**
 * Which replicas are cold, and whether this VM may send to them now. Concerns only services whose configuration bounds
 * the requests to cold replicas. Thread-safe.
 */
class ColdReplicas(
    private val table: ReplicaTable,
    private val budget: ColdBudget,
    private val service: (String) -> ForwardService?,
) {
    /** Whether a request may be directed to [state]'s replica now: it is not cold, or this VM has budget for it. */
    fun permits(state: ReplicaState): Boolean =
        coldRate(state)?.let { budget.permits(state.replica.id, it) } ?: true

    /** Whether [state]'s replica is cold and its service bounds the requests to it. */
    fun isCold(state: ReplicaState): Boolean = coldRate(state) != null

    /** Takes one send to [state]'s replica, immediately before it. [claimed] is true after a [claim]. */
    fun tryAcquire(state: ReplicaState, claimed: Boolean): Boolean =
        coldRate(state)?.let { budget.tryAcquire(state.replica.id, it, claimed) } ?: true

    /** Reserves a send to [state]'s replica for a request that is sent after its prefill. */
    fun claim(state: ReplicaState): Boolean = coldRate(state)?.let { budget.claim(state.replica.id, it) } ?: true

    /** Milliseconds until a request may be directed to [state]'s replica; null if this VM has no share of it. */
    fun waitMillis(state: ReplicaState): Long? =
        when (val rate = coldRate(state)) {
            null -> 0
            else -> budget.waitMillis(state.replica.id, rate)
        }

    /**
     * Milliseconds until this VM may send to one of the replicas of [service] at [stage] that are not in [avoid], are
     * [reachable], and are left out for being cold: [NO_SHARE] if it has no share of any, null if there are none.
     */
    fun waitMillis(
        service: String,
        stage: ReplicaStage,
        avoid: Set<String> = emptySet(),
        reachable: (ReplicaState) -> Boolean = { true },
    ): Long? {
        if ((service(service)?.coldPerSecond ?: 0.0) <= 0) return null
        return table.usable(service, stage)
            .filter { it.replica.id !in avoid && reachable(it) && !permits(it) }
            .minOfOrNull { waitMillis(it) ?: NO_SHARE }
    }

    /** Load that a cold or just started replica seems to have in addition, so that warm ones with capacity go first. */
    fun cost(state: ReplicaState): Double {
        if ((service(state.replica.service)?.coldPerSecond ?: 0.0) <= 0) return 0.0
        if (isCold(state)) return COLD_COST
        val age = state.warmth.ageMillis ?: return 0.0
        return START_COST * (1 - age.toDouble() / START_MILLIS).coerceIn(0.0, 1.0)
    }

    /** Requests per second that [state]'s replica tolerates; null if it is not cold or there is no bound. */
    private fun coldRate(state: ReplicaState): Double? {
        val rule = service(state.replica.service)?.takeIf { it.coldPerSecond > 0 } ?: return null
        // An entry that states a time knows better than the replica's start.
        val millis = state.warmth.coldMillis(rule.coldStartMillis, byStart = state.replica.coldLeftMillis == null)
        return if (millis > 0) rule.coldPerSecond else null
    }

    /** Constants of the choice between cold and warm replicas. */
    companion object {
        /** See [waitMillis]. */
        const val NO_SHARE = Long.MAX_VALUE

        /** An idle cold replica costs as much as a full warm one. */
        private const val COLD_COST = 1.0

        /** A process that has just started takes longer per request for some seconds. */
        private const val START_COST = 0.5
        private const val START_MILLIS = 5_000.0
    }
}
