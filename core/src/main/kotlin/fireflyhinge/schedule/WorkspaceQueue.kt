package fireflyhinge.schedule

/** Waiting requests of one workspace in one priority class, in order of arrival with retries first. */
internal class WorkspaceQueue(val workspace: String) {
    private val retries = LinkedHashMap<String, QueueEntry>()
    private val others = LinkedHashMap<String, QueueEntry>()

    /** Tokens that the workspace may take before another round. */
    var deficit = 0.0

    /** Tokens that were served to the workspace outside its turn and that half of each later quantum pays for. */
    var debt = 0.0

    /** Tokens of all waiting requests. */
    var tokens = 0.0
        private set

    val size: Int get() = retries.size + others.size

    /** All waiting requests in order. */
    fun entries(): Sequence<QueueEntry> = retries.values.asSequence() + others.values

    /** First request that is not in [skip], or null. */
    fun head(skip: Set<String>): QueueEntry? = entries().firstOrNull { it.id !in skip }

    fun add(entry: QueueEntry) {
        (if (entry.first) retries else others)[entry.id] = entry
        tokens += entry.cost
    }

    fun remove(id: String): QueueEntry? =
        (retries.remove(id) ?: others.remove(id))?.also { tokens -= it.cost }

    /** Quanta in tokens until [cost] is affordable. */
    fun missing(cost: Double): Double = (cost - deficit).let { it + minOf(debt, it) }

    /** Adds quanta of [tokens] to the deficit, which stays at most [limit]. */
    fun gain(tokens: Double, limit: Double) {
        val paid = minOf(debt, tokens / 2)
        debt -= paid
        deficit = minOf(limit, deficit + tokens - paid)
    }
}
