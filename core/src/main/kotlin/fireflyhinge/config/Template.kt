package fireflyhinge.config

/** A template of workspaces: parameter defaults that a workspace may override. */
data class Template(
    override val name: String,
    val parameters: WorkspaceParameters = WorkspaceParameters(),
    override val changeId: String = "",
    override val deleted: Boolean = false,
) : ConfigObject
