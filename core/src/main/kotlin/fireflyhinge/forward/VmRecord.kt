package fireflyhinge.forward

/**
 * What a VM says of itself. A record with a higher ([startedAt], [heartbeat]) is newer.
 *
 * @property front `host:port` where it serves callers.
 * @property control `host:port` where it answers other VMs.
 * @property startedAt Unix milliseconds of its start.
 * @property heartbeat raised by the VM itself while it runs.
 * @property ready whether it takes requests.
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
    /** Whether this record was made after [other]. */
    fun newerThan(other: VmRecord): Boolean =
        compareValuesBy(this, other, { it.startedAt }, { it.heartbeat }) > 0
}
