package fireflyhinge.forward

/**
 * One replica as the platform lists it.
 *
 * @property id identifies one process; another process at the same address has another id or [startedAt].
 * @property address `host:port`.
 * @property slots requests that it runs at a time.
 * @property leaving whether it must get no new requests.
 * @property startedAt Unix milliseconds of its start, or 0 if unknown.
 */
data class Replica(
    val id: String,
    val service: String,
    val address: String,
    val failureDomain: String,
    val stage: ReplicaStage,
    val slots: Int,
    val leaving: Boolean = false,
    val startedAt: Long = 0,
)
