package fireflyhinge.schedule

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad
import fireflyhinge.peer.PlaceRequest

/** State of one replica as known to its cell. Not thread-safe; guarded by the cell's lock. */
internal sealed class Replica(var upstream: Upstream) {
    val link = LinkReservations()

    /** Suspect requests that may run on the replica. */
    val suspects = ReplicaSuspects()

    /** The last load report, or null before the first one. */
    var load: EngineLoad? = null
        private set

    private var failures = 0

    val name: String get() = upstream.name

    /** Set while an order waits for the requests at the engine to end, or while the engine cannot serve its role. */
    var excluded = false

    /** Whether the replica answered the last load poll. */
    val reachable: Boolean get() = load != null && failures == 0

    /** Whether the replica may get new requests. */
    val available: Boolean get() = !upstream.leaving && load?.leaving != true && failures == 0 && !excluded

    /** Whether [request] may be placed here. */
    fun accepts(request: PlaceRequest): Boolean = available && suspects.admits(request.crashLevel)

    /** Records a load report and resets the state of the engine if it restarted. */
    fun recordLoad(newLoad: EngineLoad, now: Long) {
        val restarted = load?.let { it.incarnation != newLoad.incarnation } == true
        failures = 0
        if (restarted) onRestart()
        onReport(newLoad, now)
        load = newLoad
    }

    /** Records that the replica did not answer; it gets no new requests until it does. */
    fun recordUnreachable() {
        failures++
    }

    /** Clears the state that belonged to the previous engine process. */
    protected abstract fun onRestart()

    /** Updates estimates from [newLoad]; [load] is still the previous report. */
    protected abstract fun onReport(newLoad: EngineLoad, now: Long)
}
