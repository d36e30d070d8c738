package fireflyhinge.schedule

/**
 * Orders waiting requests. Classes are served in the order of [QueueClass], but while a class in [minimumWeights] and
 * another class wait, it gets at least that fraction of the tokens. Within a class, workspaces share by weight.
 */
internal class FairQueue(private val minimumWeights: Map<QueueClass, Double>, weightOf: (String) -> Double) {
    private val classes = QueueClass.values().associateWith { ClassQueue(weightOf) }
    private val byId = LinkedHashMap<String, QueueEntry>()

    /** Tokens owed to each class with a minimum weight. */
    private val credits = minimumWeights.mapValuesTo(HashMap()) { 0.0 }

    val isEmpty: Boolean get() = byId.isEmpty()

    /** The waiting request with this id, or null. */
    operator fun get(id: String): QueueEntry? = byId[id]

    /** Queue of [name]. */
    fun ofClass(name: QueueClass): ClassQueue = classes.getValue(name)

    fun add(entry: QueueEntry) {
        byId[entry.id] = entry
        ofClass(entry.queueClass).add(entry)
    }

    /** Next request to place that is not in [skip], or null. */
    fun next(skip: Set<String>): QueueEntry? {
        val heads = classes.values.mapNotNull { it.next(skip) }
        return heads.firstOrNull { (credits[it.queueClass] ?: 0.0) >= it.cost } ?: heads.firstOrNull()
    }

    /** Removes a placed request. */
    fun take(entry: QueueEntry) {
        byId -= entry.id
        ofClass(entry.queueClass).take(entry)
        // Late requests are charged to their workspace's own on-time share instead of to other workspaces.
        val onTime = ofClass(QueueClass.ON_TIME)
        if (entry.queueClass == QueueClass.LATE && !onTime.isEmpty) onTime.addDebt(entry.request.workspace, entry.cost)
        minimumWeights.forEach { (name, weight) -> credits[name] = credit(name, weight, entry) }
    }

    /** Removes a request that was not placed; null if it is not queued. */
    fun remove(id: String): QueueEntry? = byId.remove(id)?.also { ofClass(it.queueClass).remove(it) }

    /** Removes and returns the requests for which [condition] holds. */
    fun removeIf(condition: (QueueEntry) -> Boolean): List<QueueEntry> =
        byId.values.filter(condition).onEach { remove(it.id) }

    /** Moves the requests that can no longer be on time at [now] to the late class. */
    fun moveLateRequests(now: Long) =
        byId.values.filter { it.limits.lateAt <= now && it.queueClass == QueueClass.ON_TIME }.forEach {
            ofClass(QueueClass.ON_TIME).remove(it)
            it.queueClass = QueueClass.LATE
            ofClass(QueueClass.LATE).add(it)
        }

    private fun credit(name: QueueClass, weight: Double, taken: QueueEntry): Double {
        val credit = credits.getValue(name)
        return when {
            ofClass(name).isEmpty -> 0.0
            taken.queueClass == name -> maxOf(0.0, credit - taken.cost)
            else -> credit + taken.cost * weight / (1 - weight)
        }
    }
}
