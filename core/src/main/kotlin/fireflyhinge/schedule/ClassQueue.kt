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
            .getOrPut(name) { idle.remove(name) ?: WorkspaceQueue(name).also { it.deficit = limit(it) } }
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

    private fun affordable(skip: Set<String>): QueueEntry? =
        waiting.values
            .sortedByDescending { it.deficit / quantum(it) }
            .firstNotNullOfOrNull { queue -> queue.head(skip)?.takeIf { it.cost <= queue.deficit } }

    /** Runs as many rounds as the first workspace needs to afford its head; null if nothing waits. */
    private fun addRounds(skip: Set<String>): Double? {
        val rounds =
            waiting.values.mapNotNull { queue ->
                queue.head(skip)?.let { Math.ceil((it.cost - queue.deficit) / quantum(queue)) }
            }.minOrNull() ?: return null
        waiting.values.forEach { queue ->
            // A request that costs more than the limit must become affordable too.
            val most = maxOf(limit(queue), queue.head(skip)?.cost ?: 0.0)
            queue.deficit = minOf(most, queue.deficit + rounds * quantum(queue))
        }
        idle.values.forEach { it.deficit += rounds * quantum(it) }
        idle.values.removeIf { it.deficit >= limit(it) }
        return rounds
    }

    private fun quantum(queue: WorkspaceQueue) = QUANTUM * weightOf(queue.workspace)

    private fun limit(queue: WorkspaceQueue) = KEPT_ROUNDS * quantum(queue)

    private companion object {
        /** Tokens per round and unit of weight. */
        const val QUANTUM = 1_000.0

        /** Lets a burst of about 30 requests of a usual size through. */
        const val KEPT_ROUNDS = 32
    }
}
