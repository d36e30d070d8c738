package fireflyhinge.schedule

/** Queued requests of one workspace in one queue class: retries first, then in order of arrival. */
internal class WorkspaceQueue(val workspace: String) {
    private val retries = LinkedHashMap<String, QueueEntry>()
    private val others = LinkedHashMap<String, QueueEntry>()

    /** Tokens that the workspace may use before the next round. */
    var deficit = 0.0

    /** Tokens served to the workspace out of turn; half of each later quantum repays them. */
    var debt = 0.0

    /** Total cost of the queued requests, in tokens. */
    var tokens = 0.0
        private set

    val size: Int get() = retries.size + others.size

    /** All queued requests in order. */
    fun entries(): Sequence<QueueEntry> = retries.values.asSequence() + others.values

    /** First request that is not in [skip], or null. */
    fun head(skip: Set<String>): QueueEntry? = entries().firstOrNull { it.id !in skip }

    fun add(entry: QueueEntry) {
        (if (entry.isRetry) retries else others)[entry.id] = entry
        tokens += entry.cost
    }

    fun remove(id: String): QueueEntry? =
        (retries.remove(id) ?: others.remove(id))?.also { tokens -= it.cost }

    /** Tokens of further quanta until [cost] is affordable, including the part that repays debt. */
    fun tokensNeeded(cost: Double): Double = (cost - deficit).let { it + minOf(debt, it) }

    /** Adds quanta of [tokens], less the part that repays debt, to the deficit; caps it at [limit]. */
    fun addQuanta(tokens: Double, limit: Double) {
        val repaid = minOf(debt, tokens / 2)
        debt -= repaid
        deficit = minOf(limit, deficit + tokens - repaid)
    }
}
