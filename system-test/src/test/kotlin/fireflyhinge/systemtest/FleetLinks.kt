package fireflyhinge.systemtest

/** The links of all VMs of a fleet, through which tests part its network. */
internal class FleetLinks(spec: FleetSpec) : AutoCloseable {
    private val links = spec.vms.associate { it.id to VmLink() }

    /** [FleetSpec] whose daemons use the links. */
    val spec: FleetSpec = spec.copy(vms = spec.vms.map { it.copy(jvmArguments = links.getValue(it.id).jvmArguments) })

    /** Cuts [vms] off from the other daemons of [fleet], in both directions, and from its store. */
    fun cutOff(fleet: Fleet, vms: Set<String>) {
        val controlPorts = fleet.spec.vms.associate { it.id to port(fleet.controlAddress(it.id)) }
        links.forEach { (vm, link) ->
            val others = controlPorts.filterKeys { (it in vms) != (vm in vms) }.values.toSet()
            val unreachable = if (vm in vms) others + port(fleet.store.listening) else others
            link.blocked = { it in unreachable }
        }
    }

    /** Ends all cuts. */
    fun heal() = links.values.forEach { it.blocked = { false } }

    /** Makes all open connections between daemons of [fleet] silent for good; returns how many there were. */
    fun silencePeers(fleet: Fleet): Int {
        val ports = fleet.spec.vms.map { port(fleet.controlAddress(it.id)) }.toSet()
        return links.values.sumOf { it.silenceOpen(ports) }
    }

    override fun close() = links.values.forEach { it.close() }

    private fun port(address: String) = address.substringAfterLast(':').toInt()
}
