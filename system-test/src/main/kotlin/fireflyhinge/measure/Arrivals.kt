package fireflyhinge.measure

import fireflyhinge.engine.ChatMessage
import kotlin.math.ln
import kotlin.random.Random

/** Plans an open-loop load: the same seed gives the same requests at the same times. */
class Arrivals(private val profile: Profile, private val seed: Long) {
    /**
     * Requests of [seconds] at [load] times the capacity. [factors] multiplies the rate of single workspaces.
     */
    fun plan(load: Double, seconds: Int, factors: Map<String, Double> = emptyMap()): List<PlannedRequest> =
        profile.traffic.keys
            .flatMap { workspaceArrivals(it, load * (factors[it] ?: 1.0), seconds) }
            .sortedBy { it.atNanos }

    // Each workspace has its own generator, so that a factor on one does not change the others' arrivals.
    private fun workspaceArrivals(workspace: String, load: Double, seconds: Int): List<PlannedRequest> {
        val shape = profile.traffic.getValue(workspace)
        val random = Random(seed * PRIME + workspace.hashCode())
        val rate = profile.capacityPerSecond * shape.share * load
        val times = generateSequence(interval(random, rate)) { it + interval(random, rate) }
        return times.takeWhile { it < seconds }.map { request(workspace, shape, it, random) }.toList()
    }

    private fun interval(random: Random, rate: Double): Double = -ln(1.0 - random.nextDouble()) / rate

    private fun request(workspace: String, shape: TrafficShape, at: Double, random: Random): PlannedRequest {
        val domain = pickDomain(random)
        val output = random.nextInt(shape.outputTokens.first, shape.outputTokens.last + 1)
        val prompt = random.nextInt(shape.promptTokens.first, shape.promptTokens.last + 1)
        val id = random.nextLong().toULong().toString(RADIX)
        val prefix = (0 until shape.prefixTokens).joinToString(" ") { "$workspace$it" }
        val own = (0 until prompt - 1).joinToString(" ") { "$id-$it" }
        val content = listOf(prefix, own, "tokens=$output").filter { it.isNotEmpty() }.joinToString(" ")
        return PlannedRequest(
            atNanos = (at * NANOS_PER_SECOND).toLong(),
            workspace = workspace,
            region = domain.region,
            failureDomain = domain.name,
            messages = listOf(ChatMessage(role = "user", content = content)),
            promptTokens = shape.prefixTokens + prompt,
            outputTokens = output,
            maxTokens = (output * Profile.MAX_TOKENS_FACTOR).toInt(),
        )
    }

    private fun pickDomain(random: Random): Profile.Domain {
        var left = random.nextInt(profile.domains.sumOf { it.decode })
        return profile.domains.first { d ->
            left -= d.decode
            left < 0
        }
    }

    private companion object {
        const val PRIME = 1_000_003L
        const val RADIX = 36
        const val NANOS_PER_SECOND = 1e9
    }
}
