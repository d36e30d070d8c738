package fireflyhinge.measure

/**
 * Result of one run.
 *
 * @property wastedPrefill share of the prefill tokens whose answer was not delivered whole.
 * @property firstTokenP95 milliseconds, interactive requests.
 * @property gapP95 milliseconds.
 */
internal data class RunResult(
    val policy: String,
    val scenario: String,
    val seconds: Int,
    val workspaces: List<WorkspaceResult>,
    val wastedPrefill: Double,
    val firstTokenP95: Double,
    val gapP95: Double,
    val codes: Map<String, Int>,
) {
    val offered: Int get() = workspaces.sumOf { it.offered }
    val goodput: Double get() = workspaces.sumOf { it.good }.toDouble() / offered
    val worst: WorkspaceResult get() = workspaces.minBy { it.served }
    val wrongful: Double get() = workspaces.sumOf { it.wrongful }.toDouble() / offered
    val excess: Double get() = workspaces.maxOf { it.excess }

    /** Share of the requests of all workspaces but [workspace] that were good. */
    fun goodputWithout(workspace: String): Double {
        val others = workspaces.filter { it.workspace != workspace }
        return others.sumOf { it.good }.toDouble() / others.sumOf { it.offered }
    }
}
