package fireflyhinge.systemtest

import fireflyhinge.config.UpstreamRole
import java.nio.file.Path

/** Fleets that the tests start. */
internal object TestFleets {
    const val MODEL = "valodas-modelis"
    const val SERVICE = "rezervju-lietne"

    /** Decode engines whose answers last long enough to be disturbed: 25 ms a token, whatever else they run. */
    val SLOW_DECODE = listOf("--decode-step-us", "25000", "--decode-step-growth-us", "0")
    private const val REGION = "vidzemes-lauki"
    private val domains = listOf("cesu-zona", "valmieras-zona")

    /** Regions of [twoRegions]. */
    val regions = listOf(REGION, "zemgales-lauki")

    /** Directory for the logs of the processes. */
    val logs: Path = Path.of(System.getProperty("fireflyhinge.root"), "system-test", "target", "fleet-logs")

    /** [vms] daemons, two prefill and two decode engines with 20 slots, and one plain service in one region. */
    fun small(
        vms: Int = 3,
        workspaces: List<WorkspaceSpec> = listOf(WorkspaceSpec("klerki", rate = 1e6, burst = 1e7)),
        prefill: Int = 2,
        decode: Int = 2,
        prefillArguments: List<String> = emptyList(),
        decodeArguments: List<String> = listOf("--decode-step-us", "5000", "--decode-step-growth-us", "50"),
        daemonArguments: List<String> = listOf("--address-ttl-s", "2"),
    ): FleetSpec {
        fun replicas(role: UpstreamRole, count: Int, arguments: List<String>) =
            (1..count).map { EngineSpec("${role.name.lowercase()}-$it", role, REGION, domains[it % 2], arguments) }
        return FleetSpec(
            model = MODEL,
            service = SERVICE,
            vms = (1..vms).map { VmSpec("vm-$it", REGION, domains[it % 2]) },
            engines =
            replicas(UpstreamRole.PREFILL, prefill, prefillArguments) +
                replicas(UpstreamRole.DECODE, decode, decodeArguments) +
                replicas(UpstreamRole.SERVICE, 1, emptyList()),
            workspaces = workspaces,
            daemonArguments = daemonArguments,
        )
    }

    /** [spec] whose plain calls may be repeated and cost as much as the requests of [PacedLoad]. */
    fun withPaidCalls(spec: FleetSpec): FleetSpec =
        spec.copy(serviceIdempotent = true, serviceCostTokens = PacedLoad.COST.toDouble())

    /** [small] with the odd VMs and replicas in one region and the even ones in the other. */
    fun twoRegions(workspaces: List<WorkspaceSpec>): FleetSpec {
        val one = withPaidCalls(small(vms = 4, workspaces = workspaces))
        fun region(name: String) = regions[name.last().digitToInt() % 2]
        return one.copy(
            vms = one.vms.map { it.copy(region = region(it.id)) },
            engines = one.engines.map { it.copy(region = region(it.name)) },
        )
    }
}
