package fireflyhinge.quota

import fireflyhinge.config.Priority
import fireflyhinge.peer.ChargeReply
import fireflyhinge.peer.ChargeReply.ExceedsBurst
import fireflyhinge.peer.ChargeReply.Granted
import fireflyhinge.peer.ChargeReply.RateExceeded
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.SettleRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class ChargeLedgerTest {
    private val limits = QuotaLimits(rate = 100.0, depth = 200.0)

    private fun book(level: Double) = ChargeLedger(epoch = 7, limits = limits, level = level, now = 0)

    private fun ChargeLedger.ask(
        tokens: Double,
        id: String = "a",
        priority: Priority = Priority.BATCH,
        maxWait: Long = 1_000_000,
        at: Double = 0.0,
    ): ChargeReply {
        val now = (at * 1e9).toLong()
        advance(limits, now)
        return charge(ChargeRequest(id, "shop", tokens, "f", priority, maxWait), crashes = 0, now = now)
    }

    private fun granted(wait: Long) = Granted(epoch = 7, waitMillis = wait)

    /** Guards against wrong waits and refusals at the limits of each priority, the burst and the caller's own limit. */
    @TestFactory
    fun decisions(): List<DynamicTest> {
        val interactive = Priority.INTERACTIVE
        return listOf(
            case("enough tokens", granted(0)) { book(200.0).ask(200.0) },
            case("reserves ahead", granted(500)) { book(50.0).ask(100.0) },
            case("an interactive wait of 1 s", granted(1000)) { book(0.0).ask(100.0, priority = interactive) },
            case("no longer interactive wait", RateExceeded(1010)) { book(0.0).ask(101.0, priority = interactive) },
            case("no longer batch wait", RateExceeded(601_000)) { book(-60_000.0).ask(100.0) },
            case("no longer wait than asked for", RateExceeded(500)) { book(50.0).ask(100.0, maxWait = 499) },
            case("more than the depth", ExceedsBurst(200.0)) { book(200.0).ask(201.0) },
            case("accrues up to the depth", granted(10)) {
                val book = book(0.0)
                book.ask(200.0, "b", at = 9.0)
                book.ask(1.0, at = 9.0)
            },
        )
    }

    private fun case(name: String, expected: ChargeReply, run: () -> ChargeReply) =
        dynamicTest(name) { assertEquals(expected, run()) }

    /** Guards against a charge that is debited again when its reply was lost (P3), or lost when it is repeated. */
    @Test
    fun aRepeatedChargeIsDebitedOnce() {
        val book = book(200.0)
        repeat(3) { assertEquals(granted(0), book.ask(150.0, at = it / 100.0)) }
        // The unused charge counts as part of the full bucket, so that nothing has accrued beside it.
        assertEquals(50.0, book.level, 1e-6)
        assertEquals(granted(990), book.ask(150.0, "b", at = 0.03))
        assertEquals(granted(490), book.ask(150.0, "b", at = 0.53))
    }

    /** Guards against a refusal that debits tokens or bars the same charge from a later attempt. */
    @Test
    fun aRefusedChargeMayBeRepeated() {
        val book = book(0.0)
        assertEquals(RateExceeded(1500), book.ask(150.0, priority = Priority.INTERACTIVE))
        assertEquals(granted(500), book.ask(150.0, priority = Priority.INTERACTIVE, at = 1.0))
    }

    /** Guards against tokens that lie reserved and unused while the bucket fills up beside them. */
    @Test
    fun aLateRepetitionIsChargedAnew() {
        val book = book(200.0)
        book.ask(200.0, "late")
        assertEquals(granted(0), book.ask(200.0, "late", at = 10.0))
        assertEquals(0.0, book.level, 1e-6)
        assertEquals(granted(2000), book.ask(200.0, "next", at = 10.0))
    }

    /** Guards against reservations that mature unused while their owner is paused and add to a full bucket (P3). */
    @Test
    fun reservedTokensThatNobodyUsedCountTowardsTheDepth() {
        val book = book(0.0)
        val ids = (1..4).map { "r$it" }
        ids.forEach { book.ask(100.0, it) }
        val replies = ids.map { book.ask(100.0, it, at = 4.5) }
        assertEquals(listOf(granted(0), granted(0), granted(1000), granted(2000)), replies)
    }

    /** Guards against charges whose asker has died and which keep the bucket from filling for good. */
    @Test
    fun chargesThatNobodyAsksForAgainAreGivenUp() {
        val book = book(0.0)
        book.ask(150.0, "gone")
        book.ask(1.0, "later", at = 10.0)
        assertEquals(granted(0), book.ask(200.0, "full", at = 12.0))
    }

    /** Guards against refunds that exceed the charge, come twice or overfill the bucket. */
    @TestFactory
    fun settlements(): List<DynamicTest> =
        listOf(
            Triple("part of the charge", 40.0, 90.0),
            Triple("at most the charge", 500.0, 200.0),
            Triple("never a debit", -40.0, 50.0),
        ).map { (name, unused, level) ->
            dynamicTest(name) {
                val book = book(200.0)
                book.ask(150.0)
                repeat(2) { book.settle(SettleRequest("a", "shop", epoch = 7, unusedTokens = unused)) }
                assertEquals(level, book.level, 1e-6)
                assertEquals(RateExceeded(0), book.ask(150.0))
            }
        }

    /** Guards against a change of the rate that leaves earlier reservations at the old pace. */
    @Test
    fun aLowerRateAlsoDelaysReservations() {
        val book = book(0.0)
        assertEquals(granted(2000), book.ask(200.0))
        book.advance(QuotaLimits(rate = 10.0, depth = 20.0), now = 1_000_000_000)
        val repeated = ChargeRequest("a", "shop", 200.0, "f", Priority.BATCH, maxWaitMillis = 1_000_000)
        assertEquals(granted(10_000), book.charge(repeated, crashes = 0, now = 1_000_000_000))
    }

    /** Guards against a lender that serves others from the tokens its own workspace needs. */
    @Test
    fun aLenderKeepsHalfOfItsDepth() {
        val book = book(200.0)
        assertEquals(75.0, book.lend(500.0, now = 0), 1e-6)
        assertEquals(100.0, book.level, 1e-6)
        assertEquals(0.0, book.lend(1.0, now = 0), 1e-6)
    }

    /**
     * Guards against a takeover that adds tokens: without floors, a new epoch starts without tokens and makes up for
     * what the old owner may have granted ahead (0.1 s), and takes no refunds of the old one.
     */
    @Test
    fun aNewEpochStartsEmpty() {
        val shard = QuotaShard()
        val request = ChargeRequest("a", "shop", 100.0, "f", Priority.BATCH, maxWaitMillis = 5_000)
        shard.open(newEpoch = 1, now = 0)
        assertEquals(Granted(epoch = 1, waitMillis = 0), shard.charge(request, limits, 1, now = 2_000_000_000))
        shard.open(newEpoch = 2, now = 3_000_000_000)
        assertEquals(null, shard.charge(request, limits, 1, now = 3_000_000_000))
        assertEquals(Granted(epoch = 2, waitMillis = 1100), shard.charge(request, limits, 2, now = 3_000_000_000))
        assertEquals(0.0, shard.settle(SettleRequest("a", "shop", epoch = 1, unusedTokens = 50.0), 3_000_000_000))
    }
}
