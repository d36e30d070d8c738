package fireflyhinge.peer

/** A replica crashed while the requests with these fingerprints of [workspace] ran on it. */
data class CrashReport(
    val replica: String,
    val replicaIncarnation: Long,
    val workspace: String,
    val fingerprints: Set<String>,
)
