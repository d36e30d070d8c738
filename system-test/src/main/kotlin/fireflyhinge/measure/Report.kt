package fireflyhinge.measure

import fireflyhinge.Json

/** Prints results as a table and as JSON. */
internal object Report {
    private const val PERCENT = 100.0

    /** Head of the table. */
    const val HEAD =
        "| policy | run | requests | goodput % | wasted prefill % | worst-served | wrongful refusals % | " +
            "excess tokens | first token p95 ms | gap p95 ms |\n" +
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

    /** One row of the table. */
    fun row(r: RunResult): String {
        val figures =
            listOf(
                "%.1f".format(r.goodput * PERCENT),
                "%.2f".format(r.wastedPrefill * PERCENT),
                "%s %.2f".format(r.worst.workspace, r.worst.served),
                "%.2f".format(r.wrongful * PERCENT),
                "%.0f".format(r.excess),
                "%.0f".format(r.firstTokenP95),
                "%.1f".format(r.gapP95),
            )
        return "| ${r.policy} | ${r.scenario} | ${r.offered} | ${figures.joinToString(" | ")} |"
    }

    /** All results with their settings as JSON. */
    fun json(profile: String, seed: Long, results: List<RunResult>): String =
        Json.mapper.writerWithDefaultPrettyPrinter().writeValueAsString(
            mapOf("profile" to profile, "seed" to seed, "time_scale" to 1, "results" to results),
        )
}
