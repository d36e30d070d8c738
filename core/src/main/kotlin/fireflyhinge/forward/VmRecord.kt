package fireflyhinge.forward

/**
 * Membership record of a VM. A record with a higher ([startedAt], [heartbeat]) is newer.
 *
 * @property front `host:port` that serves callers.
 * @property control `host:port` that serves other VMs.
 * @property startedAt Unix milliseconds of its start.
 * @property heartbeat counter that only the VM itself increments.
 * @property ready whether it accepts requests.
 * @property tokens tokens of its requests at each replica, by the replica's id.
 */
data class VmRecord(
    val name: String,
    val front: String,
    val control: String,
    val failureDomain: String,
    val startedAt: Long,
    val heartbeat: Long = 0,
    val ready: Boolean = false,
    val tokens: Map<String, Long> = emptyMap(),
) {
    /** Whether this record is newer than [other]. */
    fun newerThan(other: VmRecord): Boolean =
        compareValuesBy(this, other, { it.startedAt }, { it.heartbeat }) > 0
}
