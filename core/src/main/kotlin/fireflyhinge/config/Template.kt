package fireflyhinge.config

/** A template of workspaces: parameter defaults that a workspace may override. */
data class Template(
    val name: String,
    val parameters: WorkspaceParameters = WorkspaceParameters(),
    val changeId: String = "",
    val deleted: Boolean = false,
)
