package fireflyhinge.daemon.caller

/** A caller that departs when [gone] is set. */
class FakeCaller : CallerLink {
    @Volatile
    var gone = false

    override fun departed(): Boolean = gone

    override fun <T> onDeparture(action: () -> Unit, block: () -> T): T = block()
}
