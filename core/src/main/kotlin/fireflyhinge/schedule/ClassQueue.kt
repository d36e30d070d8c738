package fireflyhinge.schedule

import java.util.ArrayDeque

/**
 * Deficit round robin over the workspaces of one priority class, counted in tokens. A workspace's quantum is
 * proportional to its weight.
 */
internal class ClassQueue(private val weightOf: (String) -> Double) {
    private val ring = ArrayDeque<WorkspaceQueue>()
    private val byName = HashMap<String, WorkspaceQueue>()

    val isEmpty: Boolean get() = ring.isEmpty()

    /** Queue of [workspace], or null if it has no waiting request. */
    fun queueOf(workspace: String): WorkspaceQueue? = byName[workspace]

    /** All waiting requests. */
    fun entries(): Sequence<QueueEntry> = ring.asSequence().flatMap { it.entries() }

    /** Share of the class that [workspace] gets while all present workspaces wait, 0 to 1. */
    fun shareOf(workspace: String): Double {
        val others = byName.keys.filter { it != workspace }.sumOf(weightOf)
        val own = weightOf(workspace)
        return own / (own + others)
    }

    fun add(entry: QueueEntry) {
        val name = entry.request.workspace
        byName.getOrPut(name) { WorkspaceQueue(name).also(ring::addLast) }.add(entry)
    }

    /** Next request in fair order that is not in [skip], or null. It stays queued until [take]. */
    fun next(skip: Set<String>): QueueEntry? = affordable(skip) ?: addRounds(skip)?.let { affordable(skip) }

    /** Removes a request that is placed and charges its workspace. */
    fun take(entry: QueueEntry) {
        val queue = byName[entry.request.workspace] ?: return
        queue.deficit -= entry.cost
        remove(entry)
        val next = queue.head(emptySet()) ?: return
        if (next.cost > queue.deficit) {
            ring.remove(queue)
            ring.addLast(queue)
        }
    }

    /** Removes a request without charge. */
    fun remove(entry: QueueEntry) {
        val queue = byName[entry.request.workspace] ?: return
        queue.remove(entry.id)
        if (queue.size > 0) return
        byName -= queue.workspace
        ring.remove(queue)
    }

    private fun affordable(skip: Set<String>): QueueEntry? =
        ring.firstNotNullOfOrNull { queue -> queue.head(skip)?.takeIf { it.cost <= queue.deficit } }

    /** Adds as many quanta to every workspace as the first one needs to afford its head; null if nothing waits. */
    private fun addRounds(skip: Set<String>): Double? {
        val waiting = ring.filter { it.head(skip) != null }
        val rounds =
            waiting.minOfOrNull { queue ->
                Math.ceil((checkNotNull(queue.head(skip)).cost - queue.deficit) / quantum(queue))
            } ?: return null
        waiting.forEach { it.deficit += rounds * quantum(it) }
        return rounds
    }

    private fun quantum(queue: WorkspaceQueue) = QUANTUM * weightOf(queue.workspace)

    private companion object {
        /** Tokens per round and unit of weight. */
        const val QUANTUM = 1_000.0
    }
}
