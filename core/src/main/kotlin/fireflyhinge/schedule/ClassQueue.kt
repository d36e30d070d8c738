package fireflyhinge.schedule

/**
 * Deficit round robin over the workspaces of one priority class, counted in tokens. In each round a workspace may take
 * a quantum proportional to its weight. What it does not use is kept up to [KEPT_ROUNDS], and the workspace with the
 * most unused rounds goes first: a workspace below its share gets its bursts through although another one floods.
 */
internal class ClassQueue(private val weightOf: (String) -> Double) {
    private val waiting = LinkedHashMap<String, WorkspaceQueue>()

    /** Workspaces without waiting requests that have used part of their quanta. The others count as new. */
    private val idle = HashMap<String, WorkspaceQueue>()

    val isEmpty: Boolean get() = waiting.isEmpty()

    /** Queue of [workspace], or null if it has no waiting request. */
    fun queueOf(workspace: String): WorkspaceQueue? = waiting[workspace]

    /** Share of the class that [workspace] gets while all present workspaces wait, 0 to 1. */
    fun shareOf(workspace: String): Double {
        val others = waiting.keys.filter { it != workspace }.sumOf(weightOf)
        val own = weightOf(workspace)
        return own / (own + others)
    }

    fun add(entry: QueueEntry) {
        val name = entry.request.workspace
        waiting
            .getOrPut(name) { idle.remove(name) ?: fresh(name) }
            .add(entry)
    }

    /** Next request in fair order that is not in [skip], or null. It stays queued until [take]. */
    fun next(skip: Set<String>): QueueEntry? = affordable(skip) ?: addRounds(skip)?.let { affordable(skip) }

    /** Removes a request that is placed and charges its workspace. */
    fun take(entry: QueueEntry) {
        val queue = waiting[entry.request.workspace] ?: return
        queue.deficit -= entry.cost
        remove(entry)
    }

    /** Removes a request without charge. */
    fun remove(entry: QueueEntry) {
        val queue = waiting[entry.request.workspace] ?: return
        queue.remove(entry.id)
        if (queue.size > 0) return
        waiting -= queue.workspace
        idle[queue.workspace] = queue
    }

    /**
     * Charges [workspace] for [tokens] that another class took from this one for it, at most the kept rounds. Only the
     * workspace with the longest backlog for its weight is charged: the others take less than their shares, and a
     * charge would make more of their requests late.
     */
    fun owe(workspace: String, tokens: Double) {
        val queue = waiting[workspace] ?: return
        if (waiting.values.any { it.tokens / it.quantum > queue.tokens / queue.quantum }) return
        queue.debt = minOf(queue.limit, queue.debt + tokens)
    }

    private fun fresh(workspace: String) = WorkspaceQueue(workspace).also { it.deficit = it.limit }

    private fun affordable(skip: Set<String>): QueueEntry? =
        waiting.values
            .sortedByDescending { it.deficit / it.quantum }
            .firstNotNullOfOrNull { queue -> queue.head(skip)?.takeIf { it.cost <= queue.deficit } }

    /** Runs as many rounds as the first workspace needs to afford its head; null if nothing waits. */
    private fun addRounds(skip: Set<String>): Double? {
        val rounds =
            waiting.values.mapNotNull { queue ->
                queue.head(skip)?.let { Math.ceil(queue.missing(it.cost) / queue.quantum) }
            }.minOrNull() ?: return null
        waiting.values.forEach { queue ->
            // A request that costs more than the limit must become affordable too.
            val most = maxOf(queue.limit, queue.head(skip)?.cost ?: 0.0)
            queue.gain(rounds * queue.quantum, most)
        }
        idle.values.forEach { it.gain(rounds * it.quantum, it.limit) }
        idle.values.removeIf { it.deficit >= it.limit && it.debt == 0.0 }
        return rounds
    }

    private val WorkspaceQueue.quantum: Double get() = QUANTUM * weightOf(workspace)

    private val WorkspaceQueue.limit: Double get() = KEPT_ROUNDS * quantum

    private companion object {
        /** Tokens per round and unit of weight. */
        const val QUANTUM = 1_000.0

        /** Lets a burst of about 30 requests of a usual size through. */
        const val KEPT_ROUNDS = 32
    }
}
