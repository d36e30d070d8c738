package fireflyhinge.config

/**
 * A workspace as the store holds it.
 *
 * @property keyHashes lower-case hexadecimal SHA-256 hashes of the granted keys; the keys themselves are never stored.
 * @property changeId identifies the operator's change that wrote this version, so that a lost reply can be resolved.
 */
data class Workspace(
    override val name: String,
    val template: String,
    val parameters: WorkspaceParameters = WorkspaceParameters(),
    val keyHashes: Set<String> = emptySet(),
    override val changeId: String = "",
    override val deleted: Boolean = false,
) : ConfigObject
