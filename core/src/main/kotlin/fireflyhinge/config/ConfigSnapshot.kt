package fireflyhinge.config

/** An immutable view of the whole configuration without tombstones. Maps are keyed by object name. */
data class ConfigSnapshot(
    val workspaces: Map<String, ResolvedWorkspace> = emptyMap(),
    val routes: Map<String, Route> = emptyMap(),
    val upstreams: Map<String, Upstream> = emptyMap(),
) {
    private val workspacesByKeyHash: Map<String, ResolvedWorkspace> =
        workspaces.values.flatMap { w -> w.keyHashes.map { it to w } }.toMap()

    /** Workspace to which the key with this SHA-256 [hash] is granted, or null. */
    fun workspaceOfKeyHash(hash: String): ResolvedWorkspace? = workspacesByKeyHash[hash]

    /** Replicas of [service] in [role] that may get new work, sorted by name. */
    fun available(service: String, role: UpstreamRole): List<Upstream> =
        upstreams.values.filter { it.service == service && it.role == role && !it.leaving }.sortedBy { it.name }
}
