package fireflyhinge.config

/** Builds snapshots from valid objects. */
internal object SnapshotBuilder {
    /**
     * Leaves out tombstones and workspaces whose template has not arrived. The parameters of a deleted template stay in
     * effect while a workspace uses it, so that a race between operators does not take the workspace out of service.
     */
    fun build(objects: List<ConfigObject>): ConfigSnapshot {
        val templates = objects.filterIsInstance<Template>().associateBy { it.name }
        val present = objects.filterNot { it.deleted }
        return ConfigSnapshot(
            workspaces =
            present.filterIsInstance<Workspace>()
                .mapNotNull { w -> templates[w.template]?.let { TemplateResolver.resolve(w, it) } }
                .associateBy { it.name },
            routes = present.filterIsInstance<Route>().associateBy { it.name },
            upstreams = present.filterIsInstance<Upstream>().associateBy { it.name },
        )
    }
}
