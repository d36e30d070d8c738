package fireflyhinge.schedule

/**
 * Deficit round robin over the workspaces of one queue class, counted in tokens. In each round a workspace may take a
 * quantum proportional to its weight. Unused quanta accumulate for up to [MAX_UNUSED_ROUNDS] rounds, and the workspace
 * with the most unused rounds is served first, so a workspace below its share can send bursts while another one floods.
 */
internal class ClassQueue(private val weightOf: (String) -> Double) {
    private val waiting = LinkedHashMap<String, WorkspaceQueue>()

    /** Workspaces without waiting requests that have used part of their quanta. All others are treated as new. */
    private val idle = HashMap<String, WorkspaceQueue>()

    val isEmpty: Boolean get() = waiting.isEmpty()

    /** Queue of [workspace], or null if it has no waiting request. */
    fun queueOf(workspace: String): WorkspaceQueue? = waiting[workspace]

    /** Share of the class, 0 to 1, that [workspace] gets while the waiting workspaces keep waiting. */
    fun shareOf(workspace: String): Double {
        val others = waiting.keys.filter { it != workspace }.sumOf(weightOf)
        val own = weightOf(workspace)
        return own / (own + others)
    }

    fun add(entry: QueueEntry) {
        val name = entry.request.workspace
        waiting
            .getOrPut(name) { idle.remove(name) ?: newQueue(name) }
            .add(entry)
    }

    /** Next request in fair order that is not in [skip], or null. It stays queued until [take]. */
    fun next(skip: Set<String>): QueueEntry? = affordable(skip) ?: addRounds(skip)?.let { affordable(skip) }

    /** Removes a placed request and charges its cost to the workspace. */
    fun take(entry: QueueEntry) {
        val queue = waiting[entry.request.workspace] ?: return
        queue.deficit -= entry.cost
        remove(entry)
    }

    /** Removes a request without charging the workspace. */
    fun remove(entry: QueueEntry) {
        val queue = waiting[entry.request.workspace] ?: return
        queue.remove(entry.id)
        if (queue.size > 0) return
        waiting -= queue.workspace
        idle[queue.workspace] = queue
    }

    /**
     * Adds [tokens] that another class served for [workspace] at the expense of this class to its debt, which is capped
     * at [MAX_UNUSED_ROUNDS] quanta. Only the workspace with the longest backlog for its weight gets the debt: the
     * others use less than their shares, and a debt would make more of their requests late.
     */
    fun addDebt(workspace: String, tokens: Double) {
        val queue = waiting[workspace] ?: return
        if (waiting.values.any { it.tokens / it.quantum > queue.tokens / queue.quantum }) return
        queue.debt = minOf(queue.maxDeficit, queue.debt + tokens)
    }

    private fun newQueue(workspace: String) = WorkspaceQueue(workspace).also { it.deficit = it.maxDeficit }

    private fun affordable(skip: Set<String>): QueueEntry? =
        waiting.values
            .sortedByDescending { it.deficit / it.quantum }
            .firstNotNullOfOrNull { queue -> queue.head(skip)?.takeIf { it.cost <= queue.deficit } }

    /** Runs as many rounds as the first workspace needs to afford its head; null if nothing waits. */
    private fun addRounds(skip: Set<String>): Double? {
        val rounds =
            waiting.values.mapNotNull { queue ->
                queue.head(skip)?.let { Math.ceil(queue.tokensNeeded(it.cost) / queue.quantum) }
            }.minOrNull() ?: return null
        waiting.values.forEach { queue ->
            // A request that costs more than the cap must become affordable too.
            val cap = maxOf(queue.maxDeficit, queue.head(skip)?.cost ?: 0.0)
            queue.addQuanta(rounds * queue.quantum, cap)
        }
        idle.values.forEach { it.addQuanta(rounds * it.quantum, it.maxDeficit) }
        idle.values.removeIf { it.deficit >= it.maxDeficit && it.debt == 0.0 }
        return rounds
    }

    private val WorkspaceQueue.quantum: Double get() = QUANTUM_TOKENS * weightOf(workspace)

    private val WorkspaceQueue.maxDeficit: Double get() = MAX_UNUSED_ROUNDS * quantum

    private companion object {
        /** Per round and unit of weight. */
        const val QUANTUM_TOKENS = 1_000.0

        /** Admits a burst of about 30 requests of typical size. */
        const val MAX_UNUSED_ROUNDS = 32
    }
}
