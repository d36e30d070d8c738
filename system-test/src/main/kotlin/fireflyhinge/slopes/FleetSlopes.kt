package fireflyhinge.slopes

import fireflyhinge.config.UpstreamRole
import fireflyhinge.systemtest.EngineSpec
import fireflyhinge.systemtest.Fleet
import fireflyhinge.systemtest.FleetSpec
import fireflyhinge.systemtest.VmSpec
import fireflyhinge.systemtest.WorkspaceSpec

/** Store calls, processor time and heap of idle daemons, by the number of daemons. */
internal object FleetSlopes {
    private const val REGION = "west"
    private const val DOMAIN = "west-1"
    private const val SETTLE_MILLIS = 8_000L
    private const val WINDOW_MILLIS = 10_000L
    private const val RATE = 1e7

    /** A fleet of [vms] daemons with [prefill] and one decode engine that do not limit the load. */
    fun spec(vms: Int, prefill: Int = 4): FleetSpec =
        FleetSpec(
            model = "model",
            service = "shop",
            vms = (1..vms).map { VmSpec("vm-$it", REGION, DOMAIN) },
            engines =
            (1..prefill).map { EngineSpec("prefill-$it", UpstreamRole.PREFILL, REGION, DOMAIN, LIMITS) } +
                EngineSpec("decode-1", UpstreamRole.DECODE, REGION, DOMAIN, LIMITS),
            workspaces = listOf(WorkspaceSpec("load", rate = RATE, burst = RATE)),
        )

    /** Measures fleets of 3, 5 and 8 daemons and passes each line to [print]. */
    fun run(print: (String) -> Unit) =
        DAEMONS.forEach { size -> Fleet(spec(size, prefill = 1)).use { print(idle(it.start(), size)) } }

    private fun idle(fleet: Fleet, size: Int): String {
        Thread.sleep(SETTLE_MILLIS)
        fleet.reset(fleet.store)
        val usages = fleet.daemons.values.map { ProcessUsage(it.pid) }
        val before = usages.sumOf { it.processorSeconds() }
        Thread.sleep(WINDOW_MILLIS)
        val counts = fleet.read(fleet.store.listening, "/control/counts")
        val share = (usages.sumOf { it.processorSeconds() } - before) / size / WINDOW_MILLIS * MILLIS * PERCENT
        val heap = usages.first().liveHeapBytes()
        return "idle daemons $size: store calls in 10 s $counts, processor ${"%.2f".format(share)} % of a core " +
            "a daemon, heap $heap B, load ${Machine.load()}"
    }

    private const val MILLIS = 1_000.0
    private const val PERCENT = 100
    private val DAEMONS = listOf(3, 5, 8)
    private val LIMITS = listOf("--slots", "1000", "--decode-step-growth-us", "0")
}
