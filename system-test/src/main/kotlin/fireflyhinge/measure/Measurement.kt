package fireflyhinge.measure

import fireflyhinge.systemtest.ChatCaller
import fireflyhinge.systemtest.Fleet
import java.util.concurrent.TimeUnit

/** Runs all scenarios with one placement policy on a fleet of its own. */
internal class Measurement(private val profile: Profile, private val seed: Long, private val seconds: Int) {
    private val caller = ChatCaller()

    /** Results of [scenarios] with [policy]; [onResult] is called after each run. */
    fun run(policy: String, scenarios: List<Scenario>, onResult: (RunResult) -> Unit): List<RunResult> {
        val spec = profile.fleet(policy)
        return Fleet(spec).use { fleet ->
            fleet.start()
            val load = LoadRun(fleet, caller)
            // The first requests load classes and let the schedulers learn step times; they are not counted.
            load.run(Arrivals(profile, seed - 1).plan(WARM_UP_LOAD, WARM_UP_SECONDS), 0) {}
            // Buckets start empty with a new owner; a fleet in service has had the time to fill them.
            Thread.sleep(FILL_MILLIS)
            scenarios.map { scenario -> one(fleet, load, policy, scenario).also(onResult) }
        }
    }

    private fun one(fleet: Fleet, load: LoadRun, policy: String, scenario: Scenario): RunResult {
        val engines = fleet.upstreams.filterKeys { "prefill" in it }.values
        engines.forEach { fleet.reset(it) }
        val requests = Arrivals(profile, seed).plan(scenario.load, seconds, scenario.factors)
        val faultAt = TimeUnit.SECONDS.toNanos(seconds.toLong()) / FAULT_PART
        val results = load.run(requests, faultAt) { scenario.fault(fleet) }
        scenario.repair(fleet)
        val read =
            engines.sumOf {
                val counts = checkNotNull(fleet.read(it.listening, "/control/counts"))
                counts.path("prefill_tokens").asLong() + counts.path("cached_tokens").asLong()
            }
        val useful = results.filter { it.second.whole }.sumOf { it.first.promptTokens }
        val evaluation = Evaluation(profile, fleet.spec.workspaces, seconds)
        return RunResult(
            policy = policy,
            scenario = scenario.name,
            seconds = seconds,
            workspaces = evaluation.workspaces(results),
            wastedPrefill = if (read == 0L) 0.0 else maxOf(0.0, (read - useful).toDouble() / read),
            firstTokenP95 = evaluation.firstTokenP95(results),
            gapP95 = evaluation.gapP95(results),
            codes = results.groupingBy { it.second.label() }.eachCount().toSortedMap(),
        )
    }

    private fun fireflyhinge.systemtest.ChatOutcome.label(): String =
        code ?: if (whole) "OK" else if (tokenTimes.isEmpty()) "NO_ANSWER" else "CUT"

    private companion object {
        const val WARM_UP_LOAD = 0.5
        const val WARM_UP_SECONDS = 5
        const val FAULT_PART = 3
        const val FILL_MILLIS = 12_000L
    }
}
