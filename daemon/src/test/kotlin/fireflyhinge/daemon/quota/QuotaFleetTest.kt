package fireflyhinge.daemon.quota

import fireflyhinge.config.Priority
import fireflyhinge.peer.ChargeRequest
import fireflyhinge.peer.CrashReport
import fireflyhinge.quota.Charge
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class QuotaFleetTest {
    private fun request(id: String, tokens: Double, fingerprint: String = "f") =
        ChargeRequest(id, "shop", tokens, fingerprint, Priority.INTERACTIVE, maxWaitMillis = 3000)

    private fun QuotaFleet.ask(node: Int, id: String, tokens: Double, fingerprint: String = "f") =
        nodes.getValue("vm$node").client.charge(request(id, tokens, fingerprint)) { false }

    private fun code(outcome: Outcome<Charge>) = (outcome as? Outcome.Failure)?.code

    private fun await(what: String, condition: () -> Boolean) {
        val end = System.nanoTime() + 20_000_000_000
        while (!condition()) {
            assertTrue(System.nanoTime() < end, "waited 20 s for: $what")
            Thread.sleep(20)
        }
    }

    /**
     * Guards against daemons that do not find the owner, debit a charge twice when its reply is lost, mix up the
     * reasons for a refusal, or do not take over when the owner dies (P3).
     */
    @Test
    fun chargesReachTheOwnerAndSurviveItsDeath() {
        QuotaFleet(size = 3, workspace = QuotaFleet.workspace(burst = 2250.0)).use { fleet ->
            val shard = fleet.nodes.getValue("vm0").shards.shardOf("quota/shop")
            await("an owner") { fleet.actingNode(shard) != null }
            await("a full bucket") { code(fleet.ask(0, "full", 2000.0)) == null }

            assertEquals(ResultCode.BURST_TOO_SMALL, code(fleet.ask(1, "big", 2001.0)))
            val started = System.nanoTime()
            repeat(3) { assertEquals(null, code(fleet.ask(it, "wait$it", 300.0))) }
            assertTrue(System.nanoTime() - started > 800_000_000, "900 tokens at 990 tokens/s came too early")
            assertEquals(ResultCode.RATE_EXCEEDED, code(fleet.ask(2, "long", 1500.0)))

            repeat(3) { crash ->
                val report = CrashReport("r$crash", 1, "shop", setOf("bad"))
                fleet.nodes.getValue("vm1").client.reportCrash(report)
            }
            await("the bar") { code(fleet.ask(2, "bad", 1.0, "bad")) == ResultCode.FINGERPRINT_BARRED }

            val owner = checkNotNull(fleet.actingNode(shard))
            owner.stop()
            val asker = fleet.nodes.values.first { it !== owner }
            await("a new owner") { fleet.actingNode(shard) != null }
            assertEquals(null, code(asker.client.charge(request("after", 100.0)) { false }))
            val barred = asker.client.charge(request("bad", 1.0, "bad")) { false }
            assertEquals(ResultCode.FINGERPRINT_BARRED, code(barred), "the successor knows of the crashes")

            var lost = 0
            fleet.losesReply = { path -> path == "/peer/v1/charge" && lost++ < 2 }
            val other = fleet.nodes.values.first { it !== owner && it !== fleet.actingNode(shard) }
            await("700 tokens") { code(other.client.charge(request("probe", 700.0)) { false }) == null }
        }
    }

    /** Guards against refusals within the rate when the first answers, of cold processes, come too late to be used. */
    @Test
    fun lateAnswersAreAskedForAgain() {
        QuotaFleet(size = 2, workspace = QuotaFleet.workspace(burst = 2250.0)).use { fleet ->
            val shard = fleet.nodes.getValue("vm0").shards.shardOf("quota/shop")
            await("an owner") { fleet.actingNode(shard) != null }
            await("a full bucket") { code(fleet.ask(0, "full", 2000.0)) == null }
            val asker = fleet.nodes.values.first { it !== fleet.actingNode(shard) }
            var late = 0
            fleet.losesReply = { path ->
                if (path == "/peer/v1/charge" && late++ < 2) Thread.sleep(LATE_MILLIS)
                false
            }
            val outcome = asker.client.charge(request("late", 1.0).copy(maxWaitMillis = 1000)) { false }
            assertEquals(null, code(outcome), "$outcome")
        }
    }

    /** Guards against charges that stay debited after the caller has left, and against waiting for them in vain. */
    @Test
    fun anAbandonedChargeIsReturned() {
        QuotaFleet(size = 1, workspace = QuotaFleet.workspace(burst = 2250.0)).use { fleet ->
            val node = fleet.nodes.getValue("vm0")
            await("a full bucket") { code(fleet.ask(0, "full", 2000.0)) == null }
            val outcome = node.client.charge(request("left", 900.0)) { true }
            assertEquals(ResultCode.QUOTA_UNAVAILABLE, code(outcome))
            assertEquals(null, code(fleet.ask(0, "next", 900.0)))
        }
    }

    private companion object {
        // Longer than the 230 ms for which an answer counts; two of them exceed the wait of an interactive request.
        const val LATE_MILLIS = 600L
    }
}
