package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/** Replicas that change their stage and get no new requests meanwhile. Thread-safe. */
class StageMoves(private val clock: MonotonicClock = MonotonicClock.SYSTEM) {
    private val until = HashMap<String, Long>()
    private var others = emptySet<String>()

    /** Replicas that this VM has ordered to change and that are not back yet. */
    @Synchronized
    fun own(): Set<String> {
        val now = clock.millis()
        until.values.removeIf { it <= now }
        return until.keys.toSet()
    }

    /** This VM is about to order replica [id] to change its stage, which takes [millis]. */
    @Synchronized
    fun begin(id: String, millis: Long) {
        until[id] = clock.millis() + millis
    }

    /** The order to replica [id] was not carried out. */
    @Synchronized
    fun undo(id: String) {
        until -= id
    }

    /** Takes over the [ids] of replicas that other VMs have ordered to change. */
    @Synchronized
    fun othersMove(ids: Set<String>) {
        others = ids
    }

    /** Whether replica [id] changes its stage, as far as this VM knows. */
    @Synchronized
    fun moving(id: String): Boolean = id in others || clock.millis() < (until[id] ?: Long.MIN_VALUE)
}
