package fireflyhinge.peer

/** A replica crashed while requests of [workspace] with these fingerprints were running on it. */
data class CrashReport(
    val replica: String,
    val replicaIncarnation: Long,
    val workspace: String,
    val fingerprints: Set<String>,
)
