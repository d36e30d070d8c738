package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CapacityQueueTest {
    private val queue = CapacityQueue(probeMillis = 100) { 0.5 }
    private val replicas = listOf("r")

    private fun request(
        id: String,
        workspace: String = "w",
        weight: Double = 1.0,
        cost: Double = 1.0,
        arrived: Long = 0,
        target: Long = 700,
        expires: Long = 3_000,
        avoid: Set<String> = emptySet(),
    ) = QueuedRequest(id, workspace, weight, cost, arrived, target, expires, avoid)

    /** Offers the single replica [count] times from [now] on, each of which is taken, and returns who got it. */
    private fun served(count: Int, now: Long = 0): List<String> =
        (1..count).map {
            queue.advance(now, replicas).offers.single().request.id.also { id -> queue.ended(id, taken = true, now) }
        }

    private class Order(val name: String, val now: Long, val expected: String, vararg val requests: QueuedRequest)

    private val late = request("a")
    private val inTime = request("b", target = 900)
    private val large = request("a", cost = 1.5, target = 600)
    private val orders =
        listOf(
            Order("arrival", 10, "ab", request("b", arrived = 2), request("a", arrived = 1)),
            Order("in time before late", 800, "ba", late, inTime),
            Order("class before share", 800, "bca", late.copy(workspace = "v"), inTime, request("c", target = 900)),
            Order("share before urgency", 10, "acb", request("a"), request("b"), request("c", "v", target = 800)),
            Order("less memory first", 10, "ba", request("a", cost = 1.5), request("b", arrived = 1)),
            Order("less time left first", 500, "ab", large, request("b")),
            Order("late by expiry", 1_000, "ba", late, request("b", expires = 1_100)),
        )

    /** Guards against capacity that goes to another request than the rules of the queue say. */
    @Test
    fun requestsGetCapacityInOrder() {
        orders.forEach { case ->
            val queue = CapacityQueue { 0.5 }
            case.requests.forEach { queue.add(it, now = 0) }
            val order =
                case.requests.map {
                    val id = queue.advance(case.now, replicas).offers.single().request.id
                    id.also { queue.ended(id, taken = true, case.now) }
                }
            assertEquals(case.expected, order.joinToString(""), case.name)
        }
    }

    /** Guards against shares that ignore weights or memory, or that a workspace saves up while it is idle. */
    @Test
    fun workspacesShareCapacityByWeight() {
        repeat(300) { queue.add(request("a$it", "a", weight = 3.0, cost = 1.0), 0) }
        repeat(300) { queue.add(request("b$it", "b", weight = 1.0, cost = 2.0), 0) }
        val before = served(70)
        assertEquals(60, before.count { it.startsWith("a") }, "3 of 4 parts, for half the memory each")
        repeat(100) { queue.add(request("c$it", "c", weight = 4.0, cost = 1.0), 0) }
        val after = served(44)
        assertEquals(24, after.count { it.startsWith("c") }, "half of the capacity from its arrival on: $after")
    }

    /** Guards against a workspace that floods the queue and delays the others by more than their own requests. */
    @Test
    fun floodOfOneWorkspaceDoesNotDelayOthers() {
        repeat(500) { queue.add(request("a$it", "a"), 0) }
        served(50)
        queue.add(request("b", "b"), 0)
        assertTrue("b" in served(2))
    }

    /** Guards against a bound on a workspace's use while no other one waits. */
    @Test
    fun singleWorkspaceGetsAllCapacity() {
        repeat(50) { queue.add(request("a$it", "a", weight = 0.001), 0) }
        assertEquals(50, served(50).size)
        assertTrue(queue.empty)
    }

    /** Guards against one replica's capacity that is offered twice at the same time. */
    @Test
    fun replicaHasOneOfferAtATime() {
        repeat(5) { queue.add(request("a$it"), 0) }
        assertEquals(listOf("r", "s"), queue.advance(0, listOf("r", "s")).offers.map { it.replica })
        assertEquals(emptyList<CapacityOffer>(), queue.advance(1, listOf("r", "s")).offers)
    }

    /** Guards against a request that loses its place or its share when a replica refuses it. */
    @Test
    fun refusedRequestKeepsItsPlace() {
        queue.add(request("a"), 0)
        queue.add(request("b", arrived = 1), 0)
        repeat(3) { round ->
            val now = round * 100L
            val offer = queue.advance(now, replicas).offers.single()
            assertEquals("a", offer.request.id)
            queue.refused(offer.number, now)
            assertEquals(emptyList<CapacityOffer>(), queue.advance(now + 99, replicas).offers)
        }
    }

    /** Guards against capacity that stays unused after a refusal, also if it became free while it was offered. */
    @Test
    fun freedReplicaIsOfferedAtOnce() {
        queue.add(request("a"), 0)
        val first = queue.advance(0, replicas).offers.single()
        queue.refused(first.number, 0)
        assertEquals(0, queue.advance(1, replicas).offers.size)
        queue.freed("r")
        val second = queue.advance(2, replicas).offers.single()
        queue.freed("r")
        queue.refused(second.number, 3)
        assertEquals(1, queue.advance(3, replicas).offers.size)
    }

    /** Guards against a replica that is unused because it reported capacity while others were preferred. */
    @Test
    fun replicasThatReportedCapacityComeFirst() {
        queue.freed("s")
        queue.add(request("a"), 0)
        assertEquals("s", queue.advance(0, listOf("r", "s")).offers.single().replica)
    }

    /** Guards against a request that is offered a replica that failed it, and against one that blocks it for others. */
    @Test
    fun avoidedReplicaGoesToTheNextRequest() {
        queue.add(request("a", avoid = setOf("r")), 0)
        queue.add(request("b", arrived = 1), 0)
        assertEquals("b", queue.advance(1, replicas).offers.single().request.id)
        assertEquals("a", queue.advance(2, listOf("r", "s")).offers.single().request.id)
    }

    /** Guards against a replica or a request that is lost with the VM that got an offer. */
    @Test
    fun offerWithoutResultEnds() {
        queue.add(request("a"), 0)
        queue.add(request("b", arrived = 1), 0)
        assertEquals("a", queue.advance(1, replicas).offers.single().request.id)
        assertEquals("b", queue.advance(401, replicas).offers.single().request.id)
        assertEquals(QueueEntryResult.Waiting(0), queue.add(request("a"), 402))
    }

    /** Guards against messages that are received twice or late and change what newer ones decided. */
    @Test
    fun duplicateAndLateMessagesAreHarmless() {
        queue.add(request("a"), 0)
        assertEquals(QueueEntryResult.Waiting(1), queue.add(request("a"), 0))
        assertEquals(1, queue.size)
        val first = queue.advance(0, replicas).offers.single()
        assertEquals(QueueEntryResult.Offered(first), queue.add(request("a"), 1), "the offer was lost")
        queue.refused(first.number, 1)
        val second = queue.advance(150, replicas).offers.single()
        queue.refused(first.number, 151)
        assertEquals(QueueEntryResult.Offered(second), queue.add(request("a"), 152), "late refusal of another offer")
        queue.ended("a", taken = true, 160)
        queue.ended("a", taken = true, 161)
        queue.refused(second.number, 162)
        assertEquals(QueueEntryResult.Ended, queue.add(request("a"), 163), "late duplicate of its call")
        assertTrue(queue.empty)
        queue.ended("unknown", taken = false, 164)
        assertEquals(QueueEntryResult.Ended, queue.add(request("unknown"), 165), "overtaken by its own end")
    }

    /** Guards against requests that hold a place after their caller left. */
    @Test
    fun requestWhoseCallerLeftIsRemoved() {
        queue.add(request("a"), 0)
        queue.add(request("b"), 0)
        queue.advance(0, replicas)
        listOf("a", "b").forEach { queue.ended(it, taken = false, 1) }
        assertTrue(queue.empty)
        queue.add(request("c"), 2)
        assertEquals("c", queue.advance(2, replicas).offers.single().request.id)
        queue.withdraw("c", 3)
        assertTrue(queue.empty)
    }

    /** Guards against requests that wait after their callers gave up. */
    @Test
    fun requestsExpire() {
        queue.add(request("a", expires = 1_000), 0)
        queue.add(request("b"), 0)
        val step = queue.advance(1_000, emptyList())
        assertEquals(listOf("a"), step.expired.map { it.id })
        assertEquals(1, queue.size)
    }

    /** Guards against requests that wait in vain, and against refusals before the rate of the replicas is known. */
    @Test
    fun requestThatWouldExpireIsRefusedAtOnce() {
        val ahead = List(200) { queue.add(request("a$it", target = 20_000, expires = 30_000), 0) }
        assertTrue(ahead.all { it is QueueEntryResult.Waiting }) { "the rate is not known yet: $ahead" }
        // One request gets capacity every 100 ms.
        (0..20L).forEach { round ->
            queue.advance(round * 100, replicas).offers.forEach { queue.ended(it.request.id, true, round * 100) }
        }
        val refused = (1..8).map { queue.add(request("late$it", target = 2_500, expires = 5_000), 2_000) }
        val times = refused.map { (it as QueueEntryResult.Refused).retryAfterMillis }
        assertEquals(times.distinct(), times, "returns are spread")
        assertTrue(times.all { it in 1_000..6_000 }, "$times")
        val other = queue.add(request("b", "other", target = 2_500, expires = 5_000), 2_000)
        assertTrue(other is QueueEntryResult.Waiting, "a workspace within its share has its turn sooner: $other")
    }

    /** Guards against contention that VMs notice late, or that never ends. */
    @Test
    fun contentionEndsAfterTheQueueIsEmpty() {
        assertFalse(queue.contended(0))
        queue.add(request("a"), 0)
        assertTrue(queue.contended(0))
        queue.advance(0, replicas)
        queue.ended("a", taken = true, 10)
        assertTrue(queue.contended(999))
        assertFalse(queue.contended(1_000))
    }
}
