package fireflyhinge.schedule

import fireflyhinge.config.Priority

/**
 * Orders waiting requests. Interactive requests go first, but batch requests get at least [minimumWeight] of the
 * tokens while both wait. Within a class, workspaces share by weight.
 */
internal class FairQueue(private val minimumWeight: Double, weightOf: (String) -> Double) {
    private val classes = Priority.values().associateWith { ClassQueue(weightOf) }
    private val byId = LinkedHashMap<String, QueueEntry>()
    private var batchCredit = 0.0

    val isEmpty: Boolean get() = byId.isEmpty()

    /** The waiting request with this id, or null. */
    operator fun get(id: String): QueueEntry? = byId[id]

    /** Queue class of [priority]. */
    fun ofClass(priority: Priority): ClassQueue = classes.getValue(priority)

    fun add(entry: QueueEntry) {
        byId[entry.id] = entry
        ofClass(entry.request.priority).add(entry)
    }

    /** Next request to place that is not in [skip], or null. */
    fun next(skip: Set<String>): QueueEntry? {
        val interactive = ofClass(Priority.INTERACTIVE).next(skip)
        val batch = ofClass(Priority.BATCH).next(skip)
        if (interactive == null || batch == null) return interactive ?: batch
        return if (batchCredit >= batch.cost) batch else interactive
    }

    /** Removes a request that is placed. */
    fun take(entry: QueueEntry) {
        byId -= entry.id
        ofClass(entry.request.priority).take(entry)
        account(entry)
    }

    /** Removes a request that is not placed. */
    fun remove(id: String): QueueEntry? = byId.remove(id)?.also { ofClass(it.request.priority).remove(it) }

    /** Removes and returns the requests for which [condition] holds. */
    fun removeIf(condition: (QueueEntry) -> Boolean): List<QueueEntry> =
        byId.values.filter(condition).onEach { remove(it.id) }

    private fun account(entry: QueueEntry) {
        batchCredit =
            when {
                ofClass(Priority.BATCH).isEmpty -> 0.0
                entry.request.priority == Priority.BATCH -> maxOf(0.0, batchCredit - entry.cost)
                else -> batchCredit + entry.cost * minimumWeight / (1 - minimumWeight)
            }
    }
}
