package fireflyhinge.schedule

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PrefillSpeedTest {
    private class Case(val what: String, val overhead: ClosedRange<Double>, val slow: Double = 0.0)

    /**
     * Guards against an engine that is believed to be several times slower than it is, so that requests wait while it
     * idles: the reported times have queues, messages and the start of processes in them.
     */
    @Test
    fun waitsAreNotTakenForWorkOfTheEngine() {
        listOf(
            Case("no overhead", 0.0..0.0),
            Case("messages", 5.0..20.0),
            Case("queue of the engine", 5.0..300.0),
            Case("a cold start", 5.0..20.0, slow = 2_000.0),
        ).forEach { case ->
            val speed = PrefillSpeed(initialTokensPerMilli = 10.0)
            val random = Random(1)
            repeat(200) {
                val read = random.nextInt(100, 1_500)
                val overhead = random.nextDouble(case.overhead.start, case.overhead.endInclusive + 1)
                speed.add(read, (read * SLOPE + overhead + if (it < 5) case.slow else 0.0).toLong())
            }
            assertTrue(speed.millisPerToken in SLOPE * 0.95..SLOPE * 1.25, "${case.what}: ${speed.millisPerToken}")
        }
    }

    /** Guards against an estimate that stays at the best time ever seen after the engine became slower. */
    @Test
    fun aSlowerEngineIsNoticed() {
        val speed = PrefillSpeed(initialTokensPerMilli = 10.0)
        repeat(100) { speed.add(tokens = 1_000, millis = 50) }
        repeat(50) { speed.add(tokens = 1_000, millis = 100) }
        assertTrue(speed.millisPerToken == 0.1, "${speed.millisPerToken}")
    }

    private companion object {
        const val SLOPE = 0.05
    }
}
