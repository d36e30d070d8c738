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

    private fun ledger(level: Double) = ChargeLedger(epoch = 7, limits = limits, level = level, now = 0)

    private fun ChargeLedger.request(
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

    /** Guards against wrong waits and refusals at the limits of each priority, of the burst and of the request. */
    @TestFactory
    fun decisions(): List<DynamicTest> {
        val interactive = Priority.INTERACTIVE
        return listOf(
            case("enough tokens", granted(0)) { ledger(200.0).request(200.0) },
            case("reserves ahead", granted(500)) { ledger(50.0).request(100.0) },
            case("an interactive wait of 1 s", granted(1000)) { ledger(0.0).request(100.0, priority = interactive) },
            case("no longer interactive wait", RateExceeded(1010)) {
                ledger(0.0).request(101.0, priority = interactive)
            },
            case("no longer batch wait", RateExceeded(601_000)) { ledger(-60_000.0).request(100.0) },
            case("no longer wait than requested", RateExceeded(500)) { ledger(50.0).request(100.0, maxWait = 499) },
            case("more than the depth", ExceedsBurst(200.0)) { ledger(200.0).request(201.0) },
            case("accrues up to the depth", granted(10)) {
                val ledger = ledger(0.0)
                ledger.request(200.0, "b", at = 9.0)
                ledger.request(1.0, at = 9.0)
            },
        )
    }

    private fun case(name: String, expected: ChargeReply, run: () -> ChargeReply) =
        dynamicTest(name) { assertEquals(expected, run()) }

    /** Guards against a charge that is debited again after its reply was lost (P3), or lost when it is repeated. */
    @Test
    fun aRepeatedChargeIsDebitedOnce() {
        val ledger = ledger(200.0)
        repeat(3) { assertEquals(granted(0), ledger.request(150.0, at = it / 100.0)) }
        // The unspent charge counts towards the full bucket, so nothing has accrued on top of it.
        assertEquals(50.0, ledger.level, 1e-6)
        assertEquals(granted(990), ledger.request(150.0, "b", at = 0.03))
        assertEquals(granted(490), ledger.request(150.0, "b", at = 0.53))
    }

    /** Guards against a refusal that debits tokens or prevents a later attempt of the same charge. */
    @Test
    fun aRefusedChargeMayBeRepeated() {
        val ledger = ledger(0.0)
        assertEquals(RateExceeded(1500), ledger.request(150.0, priority = Priority.INTERACTIVE))
        assertEquals(granted(500), ledger.request(150.0, priority = Priority.INTERACTIVE, at = 1.0))
    }

    /** Guards against tokens that stay reserved and unused while the bucket fills up on top of them. */
    @Test
    fun aLateRepetitionIsChargedAgain() {
        val ledger = ledger(200.0)
        ledger.request(200.0, "late")
        assertEquals(granted(0), ledger.request(200.0, "late", at = 10.0))
        assertEquals(0.0, ledger.level, 1e-6)
        assertEquals(granted(2000), ledger.request(200.0, "next", at = 10.0))
    }

    /** Guards against reservations that become ready unused while the owner is paused and overfill the bucket (P3). */
    @Test
    fun unusedReservedTokensCountTowardsTheDepth() {
        val ledger = ledger(0.0)
        val ids = (1..4).map { "r$it" }
        ids.forEach { ledger.request(100.0, it) }
        val replies = ids.map { ledger.request(100.0, it, at = 4.5) }
        assertEquals(listOf(granted(0), granted(0), granted(1000), granted(2000)), replies)
    }

    /** Guards against charges of a dead requester that prevent the bucket from filling up for good. */
    @Test
    fun chargesThatAreNotRequestedAgainAreDropped() {
        val ledger = ledger(0.0)
        ledger.request(150.0, "gone")
        ledger.request(1.0, "later", at = 10.0)
        assertEquals(granted(0), ledger.request(200.0, "full", at = 12.0))
    }

    /** Guards against refunds that exceed the charge, are applied twice or overfill the bucket. */
    @TestFactory
    fun settlements(): List<DynamicTest> =
        listOf(
            Triple("part of the charge", 40.0, 90.0),
            Triple("at most the charge", 500.0, 200.0),
            Triple("never a debit", -40.0, 50.0),
        ).map { (name, unused, level) ->
            dynamicTest(name) {
                val ledger = ledger(200.0)
                ledger.request(150.0)
                repeat(2) { ledger.settle(SettleRequest("a", "shop", epoch = 7, unusedTokens = unused)) }
                assertEquals(level, ledger.level, 1e-6)
                assertEquals(RateExceeded(0), ledger.request(150.0))
            }
        }

    /** Guards against a change of the rate that does not apply to existing reservations. */
    @Test
    fun aLowerRateAlsoDelaysReservations() {
        val ledger = ledger(0.0)
        assertEquals(granted(2000), ledger.request(200.0))
        ledger.advance(QuotaLimits(rate = 10.0, depth = 20.0), now = 1_000_000_000)
        val repeated = ChargeRequest("a", "shop", 200.0, "f", Priority.BATCH, maxWaitMillis = 1_000_000)
        assertEquals(granted(10_000), ledger.charge(repeated, crashes = 0, now = 1_000_000_000))
    }

    /** Guards against a lender that lends tokens that its own region needs. */
    @Test
    fun aLenderKeepsHalfOfItsDepth() {
        val ledger = ledger(200.0)
        assertEquals(75.0, ledger.lend(500.0, now = 0), 1e-6)
        assertEquals(100.0, ledger.level, 1e-6)
        assertEquals(0.0, ledger.lend(1.0, now = 0), 1e-6)
    }

    /**
     * Guards against a takeover that adds tokens. Without floors, a new epoch starts empty, less what the previous
     * owner may have granted ahead (0.1 s), and accepts no refunds of the previous epoch.
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
