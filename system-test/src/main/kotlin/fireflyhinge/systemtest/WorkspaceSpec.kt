package fireflyhinge.systemtest

import fireflyhinge.config.Priority

/**
 * A workspace of a fleet under test.
 *
 * @property rate tokens per second.
 * @property burst tokens.
 */
data class WorkspaceSpec(
    val name: String,
    val rate: Double,
    val burst: Double,
    val priority: Priority = Priority.INTERACTIVE,
    val regionShares: Map<String, Double>? = null,
) {
    /** Key that the fleet grants to this workspace. */
    val key: String get() = "key-of-$name"
}
