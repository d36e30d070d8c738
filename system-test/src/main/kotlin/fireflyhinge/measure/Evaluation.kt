package fireflyhinge.measure

import fireflyhinge.config.Priority
import fireflyhinge.systemtest.ChatOutcome
import fireflyhinge.systemtest.WorkspaceSpec
import org.HdrHistogram.Histogram

/** Works out the measures of a run. */
internal class Evaluation(
    private val profile: Profile,
    private val specs: List<WorkspaceSpec>,
    private val seconds: Int,
) {
    /** Results of all workspaces that sent requests. */
    fun workspaces(results: List<Pair<PlannedRequest, ChatOutcome>>): List<WorkspaceResult> {
        val groups = results.groupBy { it.first.workspace }
        val demand = groups.mapValues { (_, r) -> r.sumOf { it.first.outputTokens }.toDouble() / seconds }
        val capacity = profile.capacityPerSecond * profile.meanOutput
        val weights = specs.associate { it.name to it.rate }
        val fair = FairShares.of(capacity, demand, weights)
        return groups.map { (name, r) -> workspace(specs.first { it.name == name }, r, fair.getValue(name)) }
    }

    /** Time to the first token of interactive requests that got one, at the 95th percentile, in milliseconds. */
    fun firstTokenP95(results: List<Pair<PlannedRequest, ChatOutcome>>): Double {
        val interactive = specs.filter { it.priority == Priority.INTERACTIVE }.map { it.name }
        return p95(results.filter { it.first.workspace in interactive }.mapNotNull { it.second.firstTokenMillis })
    }

    /** Time between tokens at the 95th percentile, in milliseconds. */
    fun gapP95(results: List<Pair<PlannedRequest, ChatOutcome>>): Double =
        p95(results.flatMap { it.second.gapsMillis })

    private fun workspace(
        spec: WorkspaceSpec,
        results: List<Pair<PlannedRequest, ChatOutcome>>,
        fair: Double,
    ): WorkspaceResult {
        val model = RateModel(spec)
        val within = results.sortedBy { it.first.atNanos }.filter { model.charge(it.first) }
        val good = results.filter { good(spec, it.second) }
        val used = results.sumOf { if (it.second.tokenTimes.isEmpty()) 0 else tokens(it.first, it.second) }
        val ended = (results.maxOf { it.second.endedAt } - results.minOf { it.second.intendedAt }) / NANOS_PER_SECOND
        return WorkspaceResult(
            workspace = spec.name,
            offered = results.size,
            good = good.size,
            refused = results.count { it.second.refused() },
            failed = results.count { !it.second.whole && !it.second.refused() },
            // Of a workspace over its rate, not the same requests need be admitted as in the model, but as many.
            wrongful = maxOf(0, within.size - results.count { !it.second.refused() }),
            goodTokens = good.sumOf { it.first.outputTokens }.toDouble() / seconds,
            fairTokens = fair,
            excess = maxOf(0.0, used - spec.rate * ended - spec.burst),
        )
    }

    private fun tokens(request: PlannedRequest, outcome: ChatOutcome) =
        request.promptTokens + outcome.tokenTimes.size

    private fun good(spec: WorkspaceSpec, outcome: ChatOutcome): Boolean =
        if (spec.priority == Priority.BATCH) outcome.whole else outcome.meetsTargets()

    private fun ChatOutcome.refused(): Boolean = run == "not_run"

    private fun p95(millis: List<Double>): Double {
        if (millis.isEmpty()) return 0.0
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        millis.forEach { histogram.recordValue((it * MICROS).toLong().coerceAtLeast(0)) }
        return histogram.getValueAtPercentile(PERCENTILE) / MICROS
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val MICROS = 1000.0
        const val SIGNIFICANT_DIGITS = 3
        const val PERCENTILE = 95.0
    }
}
