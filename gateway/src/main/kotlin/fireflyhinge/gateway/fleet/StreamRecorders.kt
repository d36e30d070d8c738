package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FleetView
import fireflyhinge.forward.VmRecord

/** Selects the VMs that are told where streams began. Each writes to the store, so their number bounds the calls. */
internal class StreamRecorders(private val fleet: FleetView) {
    /** The first [count] recorders for [key] (rendezvous hashing), a stream or a VM, without this VM. */
    fun othersOf(key: String, count: Int): List<VmRecord> =
        all()
            .filter { it.name != fleet.self.name }
            .sortedBy { "$key/${it.name}".hashCode() * HASH_MULTIPLIER }
            .take(count)

    /** The first [count] recorders of this VM's streams. */
    fun ofSelf(count: Int): List<VmRecord> = othersOf(fleet.self.name, count)

    /** Recorders that may know where stream [id] began, the first [count] for it and for each VM that was lost. */
    fun knowing(id: String, count: Int): List<VmRecord> =
        (listOf(id) + fleet.lost.map { it.name }.take(MAX_LOST))
            .flatMap { othersOf(it, count) }
            .distinct()

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

        /** Bounds the VMs that are asked for one stream after the loss of many. */
        const val MAX_LOST = 8

        /** Fibonacci hashing multiplier, which spreads the hash codes of similar names. */
        const val HASH_MULTIPLIER = -1_640_531_527
    }
}
