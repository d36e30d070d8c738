package fireflyhinge.measure

import fireflyhinge.config.Priority
import fireflyhinge.config.UpstreamRole
import fireflyhinge.systemtest.EngineSpec
import fireflyhinge.systemtest.FleetSpec
import fireflyhinge.systemtest.VmSpec
import fireflyhinge.systemtest.WorkspaceSpec

/** A user's fleet and traffic at today's size. */
data class Profile(
    val name: String,
    val model: String,
    val service: String,
    val domains: List<Domain>,
    val traffic: Map<String, TrafficShape>,
    val batch: Set<String>,
) {
    /** One failure domain with its VMs and replicas. */
    data class Domain(
        val name: String,
        val region: String,
        val vms: Int,
        val prefill: Int,
        val decode: Int,
        val services: Int,
    )

    /** Share of the decode slots that each region has. */
    val regionShares: Map<String, Double>
        get() {
            val total = domains.sumOf { it.decode }.toDouble()
            return domains.groupBy { it.region }.mapValues { (_, d) -> d.sumOf { it.decode } / total }
        }

    /** Requests per second that fill all decode slots, from the stand-in's step time with full slots. */
    val capacityPerSecond: Double
        get() {
            val slots = domains.sumOf { it.decode } * SLOTS
            val stepSeconds = (STEP_MICROS + STEP_GROWTH_MICROS * (SLOTS - 1)) / MICROS_PER_SECOND
            return slots / (meanOutput * stepSeconds)
        }

    /** Mean output tokens of a request. */
    val meanOutput: Double get() = traffic.values.sumOf { it.share * it.meanOutput }

    /** The fleet with rates that add up to the capacity. */
    fun fleet(policy: String): FleetSpec =
        FleetSpec(
            model = model,
            service = service,
            vms = domains.flatMap { d -> (1..d.vms).map { VmSpec("${d.name}-vm-$it", d.region, d.name) } },
            engines = domains.flatMap { replicas(it) },
            workspaces = traffic.map { (workspace, shape) -> workspace(workspace, shape) },
            daemonArguments = listOf("--policy", policy),
        )

    private fun workspace(name: String, shape: TrafficShape): WorkspaceSpec {
        // A charge covers the prompt and the highest output that the request allows.
        val rate = capacityPerSecond * shape.share * (shape.meanPrompt + shape.meanOutput * MAX_TOKENS_FACTOR)
        val priority = if (name in batch) Priority.BATCH else Priority.INTERACTIVE
        return WorkspaceSpec(name, rate, rate * BURST_SECONDS, priority, regionShares)
    }

    private fun replicas(d: Domain): List<EngineSpec> {
        fun of(role: UpstreamRole, label: String, count: Int, arguments: List<String>) =
            (1..count).map { EngineSpec("${d.name}-$label-$it", role, d.region, d.name, arguments) }
        val prefill = listOf("--prefill-us-per-token", PREFILL_MICROS.toString())
        val decode =
            listOf("--decode-step-us", STEP_MICROS.toString(), "--decode-step-growth-us", STEP_GROWTH_MICROS.toString())
        return of(UpstreamRole.PREFILL, "prefill", d.prefill, prefill) +
            of(UpstreamRole.DECODE, "decode", d.decode, decode + listOf("--slots", SLOTS.toString())) +
            of(UpstreamRole.SERVICE, "service", d.services, emptyList())
    }

    companion object {
        const val SLOTS = 20
        const val MAX_TOKENS_FACTOR = 1.25
        private const val STEP_MICROS = 25_000L
        private const val STEP_GROWTH_MICROS = 500L
        private const val PREFILL_MICROS = 50L
        private const val MICROS_PER_SECOND = 1e6
        private const val BURST_SECONDS = 10.0

        private val quokkaLane =
            Profile(
                name = "quokka-lane",
                model = "curator-model",
                service = "shopfront",
                domains =
                listOf(
                    Domain("perth-north", "perth", vms = 3, prefill = 1, decode = 3, services = 1),
                    Domain("perth-south", "perth", vms = 2, prefill = 1, decode = 3, services = 1),
                    Domain("sydney-west", "sydney", vms = 2, prefill = 1, decode = 3, services = 1),
                ),
                traffic =
                mapOf(
                    "curators" to TrafficShape(0.20, 1000, 200..1000, 60..120),
                    "consignments" to TrafficShape(0.10, 0, 300..900, 60..120),
                    "collectors" to TrafficShape(0.40, 0, 100..500, 20..80),
                    "shop" to TrafficShape(0.25, 0, 100..300, 20..80),
                    "archive" to TrafficShape(0.05, 0, 100..300, 20..80),
                ),
                batch = setOf("curators", "consignments"),
            )
        private val kaltesanasGrafiks =
            Profile(
                name = "kaltesanas-grafiks",
                model = "valodas-modelis",
                service = "rezervju-lietne",
                domains =
                listOf(
                    Domain("cesu-zona", "vidzemes-lauki", vms = 3, prefill = 1, decode = 3, services = 1),
                    Domain("valmieras-zona", "vidzemes-lauki", vms = 3, prefill = 1, decode = 3, services = 1),
                    Domain("jelgavas-zona", "zemgales-lauki", vms = 2, prefill = 1, decode = 3, services = 1),
                ),
                traffic =
                mapOf(
                    "graudi" to TrafficShape(0.40, 1000, 100..800, 30..90),
                    "klerki" to TrafficShape(0.30, 0, 100..600, 30..90),
                    "lauki" to TrafficShape(0.15, 0, 100..300, 20..60),
                    "kopsavilkumi" to TrafficShape(0.10, 0, 300..1500, 80..160),
                    "ligumi" to TrafficShape(0.05, 0, 100..300, 30..60),
                ),
                batch = setOf("kopsavilkumi"),
            )

        /** The profiles by name. */
        val ALL: Map<String, Profile> = listOf(quokkaLane, kaltesanasGrafiks).associateBy { it.name }
    }
}
