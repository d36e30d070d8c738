package fireflyhinge.forward

/** What callers observed in a [BurstSimulation]. */
internal class BurstResult(
    private val all: List<BurstSimulation.Request>,
    private val reservations: Int,
    val messages: Int,
) {
    private enum class Outcome(val value: Int) { IN_TIME(72), LATE(14), REFUSED(0) }

    val inTime get() = part(Outcome.IN_TIME)
    val late get() = part(Outcome.LATE)
    val refused get() = part(Outcome.REFUSED)

    /** Value of the requests, relative to that of requests in time. */
    val value get() = all.sumOf { outcome(it).value } / (all.size.toDouble() * Outcome.IN_TIME.value)

    /** Value of the requests of [workspace]. */
    fun value(workspace: Int): Double = of { it == workspace }.value

    /** The figures of the workspaces that [test] selects. */
    fun of(test: (Int) -> Boolean) = BurstResult(all.filter { test(it.workspace) }, reservations, messages)

    operator fun plus(other: BurstResult) =
        BurstResult(all + other.all, reservations + other.reservations, messages + other.messages)

    private fun part(outcome: Outcome) = all.count { outcome(it) == outcome } / all.size.toDouble()

    private fun outcome(request: BurstSimulation.Request): Outcome {
        val event = request.firstEvent ?: return Outcome.REFUSED
        // The target counts from the first time the caller sent the request, and it leaves when it has waited too long.
        return when {
            event - request.firstSent <= BurstSimulation.TARGET_MILLIS -> Outcome.IN_TIME
            event - request.sent <= BurstSimulation.LEAVE_MILLIS -> Outcome.LATE
            else -> Outcome.REFUSED
        }
    }

    override fun toString() =
        "%d requests: in time %.3f, late %.3f, refused %.3f, value %.3f; %d reservations, %d messages"
            .format(all.size, inTime, late, refused, value, reservations, messages)
}
