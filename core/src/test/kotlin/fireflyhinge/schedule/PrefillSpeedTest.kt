package fireflyhinge.schedule

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PrefillSpeedTest {
    private class Case(val name: String, val overhead: ClosedRange<Double>, val slow: Double = 0.0)

    /**
     * Guards against an estimate that is several times too slow, so that requests wait while the engine idles. The
     * reported durations include queueing, network time and process start.
     */
    @Test
    fun waitsDoNotCountAsEngineTime() {
        listOf(
            Case("no overhead", 0.0..0.0),
            Case("network", 5.0..20.0),
            Case("queue of the engine", 5.0..300.0),
            Case("a cold start", 5.0..20.0, slow = 2_000.0),
        ).forEach { case ->
            val speed = PrefillSpeed(initialTokensPerMilli = 10.0)
            val random = Random(1)
            repeat(200) {
                val tokens = random.nextInt(100, 1_500)
                val overhead = random.nextDouble(case.overhead.start, case.overhead.endInclusive + 1)
                speed.add(tokens, (tokens * MILLIS_PER_TOKEN + overhead + if (it < 5) case.slow else 0.0).toLong())
            }
            val bounds = MILLIS_PER_TOKEN * 0.95..MILLIS_PER_TOKEN * 1.25
            assertTrue(speed.millisPerToken in bounds, "${case.name}: ${speed.millisPerToken}")
        }
    }

    /** Guards against an estimate that stays at the best duration ever seen after the engine became slower. */
    @Test
    fun aSlowerEngineIsNoticed() {
        val speed = PrefillSpeed(initialTokensPerMilli = 10.0)
        repeat(100) { speed.add(tokens = 1_000, millis = 50) }
        repeat(50) { speed.add(tokens = 1_000, millis = 100) }
        assertTrue(speed.millisPerToken == 0.1, "${speed.millisPerToken}")
    }

    private companion object {
        const val MILLIS_PER_TOKEN = 0.05
    }
}
