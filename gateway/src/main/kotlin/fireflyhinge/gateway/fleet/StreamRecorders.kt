package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FleetView
import fireflyhinge.forward.VmRecord

/** Selects the VMs that are told where streams began. Each writes to the store, so their number bounds the calls. */
internal class StreamRecorders(private val fleet: FleetView) {
    /** The first [count] recorders for stream [id] (rendezvous hashing), without this VM. */
    fun othersOf(id: String, count: Int): List<VmRecord> =
        all()
            .sortedBy { "$id/${it.name}".hashCode() * HASH_MULTIPLIER }
            .take(count)
            .filter { it.name != fleet.self.name }

    /** Whether this VM is one of them. */
    fun includesSelf(): Boolean = all().any { it.name == fleet.self.name }

    private fun all(): List<VmRecord> {
        val live = fleet.ordered(ORDER)
        return live.take(maxOf(MIN_RECORDERS, live.size / VMS_PER_RECORDER))
    }

    private companion object {
        const val ORDER = "streams"
        const val MIN_RECORDERS = 8
        const val VMS_PER_RECORDER = 8

        /** Fibonacci hashing multiplier, which spreads the hash codes of similar names. */
        const val HASH_MULTIPLIER = -1_640_531_527
    }
}
