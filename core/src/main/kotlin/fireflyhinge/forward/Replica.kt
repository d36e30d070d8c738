package fireflyhinge.forward

/**
 * A replica in the platform's list.
 *
 * @property id identifies a process; a new process at the same address differs in id or [startedAt].
 * @property address `host:port`.
 * @property slots number of requests that it runs concurrently.
 * @property leaving whether it is draining and must receive no new requests.
 * @property version version of its software, empty if not stated; what two versions generate does not fit together.
 * @property startedAt Unix milliseconds of its start, or 0 if unknown.
 * @property coldLeftMillis milliseconds for which it is cold, as of the write of the entry, or null if not stated.
 */
data class Replica(
    val id: String,
    val service: String,
    val address: String,
    val failureDomain: String,
    val stage: ReplicaStage,
    val slots: Int,
    val leaving: Boolean = false,
    val version: String = "",
    val startedAt: Long = 0,
    val coldLeftMillis: Long? = null,
)
