package fireflyhinge.measure

/**
 * Result of one workspace in one run.
 *
 * @property good requests that met the targets; for batch workspaces, whole answers.
 * @property fairTokens output tokens per second that the workspace would get in a fair division of the capacity.
 * @property goodTokens output tokens per second of good requests.
 * @property wrongful refusals of requests within the rate.
 * @property excess tokens above rate·t + burst.
 */
internal data class WorkspaceResult(
    val workspace: String,
    val offered: Int,
    val good: Int,
    val refused: Int,
    val failed: Int,
    val wrongful: Int,
    val goodTokens: Double,
    val fairTokens: Double,
    val excess: Double,
) {
    val served: Double get() = if (fairTokens == 0.0) 1.0 else goodTokens / fairTokens
}
