package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class PrefillRatesTest {
    private val clock = ManualClock()
    private val rates = PrefillRates(clock)

    /** Guards against taking a replica with a queue for a slow one. */
    @Test
    fun highestRecentRateCounts() {
        rates.record("r", tokens = 5_000, elapsedMillis = 400)
        rates.record("r", tokens = 5_000, elapsedMillis = 100)
        rates.record("r", tokens = 5_000, elapsedMillis = 900)
        assertEquals(50.0, rates.tokensPerMilli("r"))
    }

    /** Guards against a replica that turns slow and still attracts prompts by an old measurement. */
    @Test
    fun newerMeasurementsReplaceOldOnes() {
        rates.record("r", tokens = 5_000, elapsedMillis = 100)
        clock.advance(15_000)
        rates.record("r", tokens = 5_000, elapsedMillis = 400)
        assertEquals(12.5, rates.tokensPerMilli("r"))
        clock.advance(31_000)
        assertNull(rates.tokensPerMilli("r"))
        assertEquals(emptyMap<String, PrefillRate>(), rates.report())
    }

    private class Odd(val what: String, val rate: PrefillRate)

    /** Guards against measurements that no replica can have, and that would attract all prompts. */
    @Test
    fun implausibleRatesAreIgnored() {
        listOf(
            Odd("cached prompt", PrefillRate(5_000.0, 0)),
            Odd("no number", PrefillRate(Double.NaN, 0)),
            Odd("negative", PrefillRate(-1.0, 0)),
            Odd("zero", PrefillRate(0.0, 0)),
            Odd("from the future", PrefillRate(50.0, -1)),
            Odd("too old", PrefillRate(50.0, 31_000)),
        ).forEach {
            rates.merge(mapOf("r" to it.rate))
            assertNull(rates.tokensPerMilli("r"), it.what)
        }
        rates.record("r", tokens = 100, elapsedMillis = 2)
        assertNull(rates.tokensPerMilli("r"), "a short prompt")
    }

    /** Guards against VMs that come to different rates because messages are late, repeated or in another order. */
    @Test
    fun mergingDoesNotDependOnOrderOrRepetition() {
        val others = listOf(100L, 300L, 70L).map { PrefillRates(clock).apply { record("r", 5_000, it) }.report() }
        val orders = listOf(listOf(0, 1, 2), listOf(2, 1, 0), listOf(1, 0, 2, 1, 0, 0))
        val merged =
            orders.map { order ->
                PrefillRates(clock).apply { order.forEach { merge(others[it]) } }.tokensPerMilli("r")
            }
        assertEquals(List(orders.size) { 5_000.0 / 70 }, merged)
    }
}
