package fireflyhinge.order

import fireflyhinge.lease.ActingLease
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class OrderTimingTest {
    private data class Case(
        val name: String,
        val lease: ActingLease?,
        val now: Long,
        val ignoring: OrderObstacle?,
        val checking: OrderObstacle? = ignoring,
    )

    private val lease = ActingLease(epoch = 9, ownerEpoch = 7, until = 10 * SECOND)
    private val margin = OrderTiming.MIN_LEASE_NANOS

    private val cases =
        listOf(
            Case("no lease", null, 5 * SECOND, OrderObstacle.NOT_OWNER),
            Case("owner again under a new epoch", lease.copy(ownerEpoch = 8), 5 * SECOND, OrderObstacle.NOT_OWNER),
            Case("not in the store", lease.copy(confirmed = false), 5 * SECOND, OrderObstacle.NOT_IN_STORE),
            Case("first 1.5 s", lease, margin - 1, OrderObstacle.NEW_OWNER),
            Case("after 1.5 s", lease, margin, null),
            Case("lease lasts 1.5 s", lease, 10 * SECOND - margin, null),
            Case("lease lasts less", lease, 10 * SECOND - margin + 1, OrderObstacle.LEASE_ENDS, checking = null),
            Case("lease without end", lease.copy(until = Long.MAX_VALUE), 99 * SECOND, null),
        )

    /** Guards against an order that may overlap with one of the previous or the next owner (P12). */
    @TestFactory
    fun ordersNeedStartDelayAndRemainingLease(): List<DynamicTest> =
        listOf(0L, Long.MIN_VALUE / 2).flatMap { origin ->
            cases.map { case ->
                dynamicTest("${case.name}, clock from $origin") {
                    val lease = case.lease?.run { if (until == Long.MAX_VALUE) this else copy(until = until + origin) }
                    fun obstacle(checks: Boolean) =
                        OrderTiming.obstacle(
                            lease,
                            ownerEpoch = 7,
                            actingSince = origin,
                            checksFence = checks,
                            now = origin + case.now,
                        )
                    assertEquals(case.ignoring, obstacle(checks = false), "engine that ignores tokens")
                    assertEquals(case.checking, obstacle(checks = true), "engine that checks tokens")
                }
            }
        }

    /** Guards against a token that is not above all tokens of earlier owners, or that a later owner also uses. */
    @Test
    fun tokensRiseWithinAnEpochAndAcrossOwners() {
        val tokens = FencingTokens()
        val size = FencingTokens.ORDERS_PER_EPOCH
        assertEquals(3 * size, tokens.next(shard = 1, epoch = 3))
        assertEquals(3 * size + 1, tokens.next(shard = 1, epoch = 3))
        assertEquals(2 * size, tokens.next(shard = 2, epoch = 2))
        assertEquals(4 * size, FencingTokens().next(shard = 1, epoch = 4))
        assertEquals(4 * size, tokens.next(shard = 1, epoch = 4))
        repeat(size.toInt() - 1) { tokens.next(shard = 1, epoch = 4) }
        assertEquals(null, tokens.next(shard = 1, epoch = 4), "the counter of the epoch is used up")
        assertEquals(5 * size, tokens.next(shard = 1, epoch = 5))
    }
}
