package fireflyhinge.forward

/**
 * One complete version of the configuration.
 *
 * @property version increases with each change.
 * @property keys API keys mapped to workspace names.
 * @property invalidWorkspaces names of the workspaces that are left out of [workspaces].
 */
data class ForwardConfig(
    val version: Long,
    val routes: List<ForwardRoute>,
    val services: Map<String, ForwardService>,
    val workspaces: Map<String, ForwardWorkspace>,
    val keys: Map<String, String>,
    val limits: CallerLimits = CallerLimits(),
    val invalidWorkspaces: Set<String> = emptySet(),
) {
    /** Routes by host and prefix. */
    val table: RouteTable = RouteTable(routes)
}
