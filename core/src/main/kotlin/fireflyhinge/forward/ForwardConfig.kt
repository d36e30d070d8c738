package fireflyhinge.forward

/**
 * One version of the configuration, complete.
 *
 * @property version grows with each change.
 * @property keys API key to the name of its workspace.
 */
data class ForwardConfig(
    val version: Long,
    val routes: List<ForwardRoute>,
    val services: Map<String, ForwardService>,
    val workspaces: Map<String, ForwardWorkspace>,
    val keys: Map<String, String>,
    val limits: CallerLimits = CallerLimits(),
) {
    /** Routes by host and prefix. */
    val table: RouteTable = RouteTable(routes)
}
