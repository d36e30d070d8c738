package fireflyhinge.forward

/** VMs that refused a connection of this one and were not heard of since. Thread-safe. */
class DownVms(private val fleet: FleetView) {
    private class Refusal(val begunAt: Long, val record: VmRecord)

    private val refusals = HashMap<String, Refusal>()

    /** Records that VM [name] refused a connection attempt that began at [begunAt], in monotonic milliseconds. */
    @Synchronized
    fun refused(name: String, begunAt: Long) {
        fleet.connectionRefused(name)
        fleet.record(name)?.let { refusals[name] = Refusal(begunAt, it) }
    }

    /** Records that VM [name] accepted a connection. */
    @Synchronized
    fun accepted(name: String) {
        refusals.remove(name)
    }

    /** Start of the latest connection attempt that VM [name] refused, or null if it is not known to be down. */
    @Synchronized
    fun downAt(name: String): Long? {
        val refusal = refusals[name] ?: return null
        return refusal.begunAt.takeIf { fleet.record(name)?.newerThan(refusal.record) == false }
    }
}
