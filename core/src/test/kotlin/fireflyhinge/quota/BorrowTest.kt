package fireflyhinge.quota

import fireflyhinge.config.Priority
import fireflyhinge.lease.MILLI
import fireflyhinge.lease.SECOND
import fireflyhinge.lease.SimEvents
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeRequest
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class BorrowTest {
    /** Two regions that lend to each other, with load in bursts after pauses; a loan is added [copies] times. */
    private fun run(seed: Int, copies: Int = 1): RateCheck {
        val random = Random(seed)
        val events = SimEvents()
        val check = RateCheck(rate = 1000.0, burst = 2000.0)
        val limits = QuotaLimits(rate = 500 * QuotaLimits.RATE_FACTOR, depth = 1000.0 - 500 * 0.25)
        val ledgers = List(2) { ChargeLedger(epoch = 1, limits = limits, level = limits.depth, now = 0) }
        repeat(12_000) { i ->
            events.after(5 * SECOND * random.nextLong(12) + random.nextLong(SECOND)) {
                val (ledger, other) = if (events.now % (5 * SECOND) < 400 * MILLI) ledgers else ledgers.reversed()
                ledgers.forEach { it.advance(limits, events.now) }
                val request = ChargeRequest("c$i", "shop", 10.0, "f", Priority.BATCH, maxWaitMillis = 0)
                when (ledger.charge(request, crashes = 0, now = events.now)) {
                    is ChargeReply.Granted -> check.use(events.now + random.nextLong(240 * MILLI), 10.0)
                    else -> {
                        val lent = other.lend(200.0, events.now)
                        events.after(random.nextLong(230 * MILLI)) {
                            ledger.advance(limits, events.now)
                            if (lent > 0) ledger.addBorrowed(lent * copies)
                        }
                    }
                }
            }
        }
        events.runUntil(61 * SECOND) {}
        assertTrue(check.count > 1000, "each of 12 bursts empties a bucket of 875 tokens in charges of 10")
        return check
    }

    /** Guards against tokens that count in two regions while a loan is in transit (P3). */
    @Test
    fun lendingNeverExceedsRateAndBurst() = repeat(100) { assertNull(run(seed = it).violation(), "seed $it") }

    /** Guards against a check that cannot fail: a loan that is added four times must be detected. */
    @Test
    fun aLoanAddedFourTimesIsDetected() = assertTrue((0 until 100).any { run(it, copies = 4).violation() != null })
}
