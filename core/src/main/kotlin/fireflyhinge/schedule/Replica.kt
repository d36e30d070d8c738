package fireflyhinge.schedule

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad
import fireflyhinge.peer.PlaceRequest

/** What a cell believes about one replica. Not thread-safe; the cell's lock guards it. */
internal sealed class Replica(var upstream: Upstream) {
    val link = LinkReservations()

    /** Tickets of suspects that may touch the replica. */
    val suspects = ReplicaSuspects()

    /** The last load report, or null before the first one. */
    var load: EngineLoad? = null
        private set

    private var failures = 0

    val name: String get() = upstream.name

    /** Set while an order to the engine waits for its requests to end, or while it cannot serve as configured. */
    var excluded = false

    /** Whether the replica answered the last time it was asked. */
    val answers: Boolean get() = load != null && failures == 0

    /** Whether the replica may get new work. */
    val available: Boolean get() = !upstream.leaving && load?.leaving != true && failures == 0 && !excluded

    /** Whether [request] may be placed here. */
    fun accepts(request: PlaceRequest): Boolean = available && suspects.admits(request.level)

    /** Takes a load report. */
    fun recordLoad(newLoad: EngineLoad, now: Long) {
        val restarted = load?.let { it.incarnation != newLoad.incarnation } == true
        failures = 0
        if (restarted) onRestart()
        onReport(newLoad, now)
        load = newLoad
    }

    /** Records that the replica did not answer; it gets no work until it does. */
    fun unreachable() {
        failures++
    }

    /** Drops what the old engine process held. */
    protected abstract fun onRestart()

    /** Learns from [newLoad]; [load] is still the previous report. */
    protected abstract fun onReport(newLoad: EngineLoad, now: Long)
}
