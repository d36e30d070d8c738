package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PoolPlanTest {
    private class Case(
        val what: String,
        val prefill: Int,
        val decode: Int,
        val needs: RequestAverages,
        val toDecode: Int = 0,
        val toPrefill: Int = 0,
    )

    private val domains = FailureDomains("north", mapOf("north" to "r1", "south" to "r1", "west" to "r2"))
    private val plan = PoolPlan(domains)

    private fun replica(id: String, domain: String, stage: ReplicaStage, leaving: Boolean = false) =
        Replica(id, "s", "$id:1", domain, stage, slots = 8, leaving = leaving)

    private fun replicas(count: Int, stage: ReplicaStage, domains: List<String> = listOf("north", "south")) =
        (0 until count).map { replica("$stage-$it", domains[it % domains.size], stage) }

    /**
     * Load: bursts that fill one pool while the other is idle. Guards against pools that stay as the platform starts
     * them, and against replicas that move to and fro while averages vary.
     */
    @Test
    fun thePoolsAreFullAtTheSameLoad() {
        val usual = RequestAverages(promptTokens = 5_000.0, memoryTokens = 8_000.0, decodeMillis = 3_300.0)
        listOf(
            // A prompt takes 125 ms of a prefill replica, an answer 451 ms of a decode replica: 0.217 of 20 is 4.3.
            Case("too many prefill replicas", prefill = 8, decode = 12, usual, toDecode = 3),
            Case("pools of the size wanted", prefill = 5, decode = 15, usual),
            Case("between two sizes", prefill = 4, decode = 16, usual),
            Case("too few prefill replicas", prefill = 2, decode = 18, usual, toPrefill = 2),
            // 500 ms and 451 ms: 0.526 of 20 is 10.5.
            Case("long prompts", prefill = 5, decode = 15, usual.copy(promptTokens = 20_000.0), toPrefill = 5),
            Case("one prefill replica is kept", prefill = 2, decode = 2, usual.copy(promptTokens = 1.0), toDecode = 1),
            Case("a region of three replicas", prefill = 2, decode = 1, usual),
            Case("nothing is known", prefill = 8, decode = 12, RequestAverages(0.0, 0.0, 0.0)),
        ).forEach { case ->
            val all = replicas(case.prefill, ReplicaStage.PREFILL) + replicas(case.decode, ReplicaStage.DECODE)
            val orders = plan.orders(all, case.needs, CAPACITY)
            assertEquals(case.toDecode, orders.count { it.stage == ReplicaStage.DECODE }, case.what)
            assertEquals(case.toPrefill, orders.count { it.stage == ReplicaStage.PREFILL }, case.what)
            assertTrue(orders.all { it.replica.stage != it.stage }, case.what)
        }
    }

    /** Guards against a failure domain or region that loses all its prefill replicas while others keep several. */
    @Test
    fun replicasAreTakenFromTheFailureDomainsThatHaveMost() {
        val needs = RequestAverages(promptTokens = 5_000.0, memoryTokens = 8_000.0, decodeMillis = 3_300.0)
        val north = replicas(4, ReplicaStage.PREFILL, listOf("north"))
        val south = listOf(replica("south", "south", ReplicaStage.PREFILL))
        val west = listOf(replica("west", "west", ReplicaStage.PREFILL))
        val decode = replicas(5, ReplicaStage.DECODE) +
            (1..3).map { replica("west-$it", "west", ReplicaStage.DECODE) }
        val orders = plan.orders(north + south + west + decode, needs, CAPACITY)
        assertEquals(setOf("north"), orders.map { it.replica.failureDomain }.toSet())
        assertEquals(2, orders.size)
    }

    /** Guards against orders to replicas that are about to leave. */
    @Test
    fun leavingReplicasAreLeftAlone() {
        val needs = RequestAverages(promptTokens = 5_000.0, memoryTokens = 8_000.0, decodeMillis = 3_300.0)
        val leaving = replicas(8, ReplicaStage.PREFILL).map { it.copy(leaving = true) }
        val orders = plan.orders(leaving + replicas(12, ReplicaStage.DECODE), needs, CAPACITY)
        assertTrue(orders.none { it.replica.leaving })
    }

    private companion object {
        const val CAPACITY = 65_000
    }
}
