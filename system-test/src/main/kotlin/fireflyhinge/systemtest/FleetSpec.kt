package fireflyhinge.systemtest

/** Everything that a fleet under test starts with. */
data class FleetSpec(
    val model: String,
    val service: String,
    val vms: List<VmSpec>,
    val engines: List<EngineSpec>,
    val workspaces: List<WorkspaceSpec>,
    val daemonArguments: List<String> = emptyList(),
    val storeArguments: List<String> = emptyList(),
    val serviceIdempotent: Boolean = false,
    val serviceCostTokens: Double = 1.0,
)
