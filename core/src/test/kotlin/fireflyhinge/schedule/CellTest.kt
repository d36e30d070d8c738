package fireflyhinge.schedule

import fireflyhinge.config.Priority
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class CellTest {
    private fun Cell.place(request: PlaceRequest, now: Long): PlaceReply? =
        requestPlacement(request, now) ?: processDue(now)[request.ticketId()]

    private fun Cell.placed(request: PlaceRequest, now: Long) = place(request, now) as PlaceReply.Placed

    private fun Cell.processUntil(from: Long, until: Long) = (from..until step 100).associateWith { processDue(it) }

    private fun held(request: PlaceRequest) =
        HeldRequest(EngineRequestId(request.requestId, 1), Holder("vm", 1), request.ticketId(), ageMillis = 0)

    /** Guards against a second slot for a request that is repeated because its reply was lost. */
    @Test
    fun aRepeatedRequestGetsTheSamePlacement() {
        val cell = openCell(slots = 1)
        val first = cell.placed(request("1"), OPEN)
        assertEquals(first, cell.requestPlacement(request("1"), OPEN + 500))
        assertNull(cell.place(request("2"), OPEN + 500))
    }

    /** Guards against a slot that stays occupied after its release, or that is assigned to a withdrawn request. */
    @Test
    fun releasedAndWithdrawnRequestsOccupyNoSlot() {
        val cell = openCell(slots = 1)
        val first = request("1")
        val placed = cell.placed(first, OPEN)
        assertNull(cell.place(request("2"), OPEN + 200))
        assertNull(cell.place(request("3"), OPEN + 200))
        val withdrawal = report(request("2"), placed.copy(ticket = "2/1"), released = true)
        cell.update(withdrawal, OPEN + 200)
        cell.update(report(first, placed, released = true), OPEN + 200)
        val answers = cell.processDue(OPEN + 200)
        assertEquals("WITHDRAWN", (answers.getValue("2/1") as PlaceReply.Refused).reason)
        assertTrue(answers.getValue("3/1") is PlaceReply.Placed)
        assertEquals("WITHDRAWN", (cell.requestPlacement(request("2"), OPEN + 300) as PlaceReply.Refused).reason)
    }

    /** Guards against an expired ticket that stays valid, and against reuse of a slot that the engine still uses. */
    @Test
    fun anExpiredTicketKeepsItsSlotUntilTheEngineDroppedIt() {
        val cell = openCell(slots = 1)
        val first = request("1")
        val placed = cell.placed(first, OPEN)
        cell.processUntil(OPEN, OPEN + 9_900)
        assertTrue(cell.update(report(first, placed), OPEN + 9_950), "renewed just in time")
        val end = OPEN + 9_950 + 10_000
        cell.processUntil(OPEN + 9_900, end + 100)
        assertFalse(cell.update(report(first, placed), end + 100))
        assertEquals(setOf(placed.decodeReplica), cell.replicasToList, "replicas to list at once")
        val batch = request("2", priority = Priority.BATCH)
        assertNull(cell.place(batch, end + 100))
        val orphans = cell.reconcile(placed.decodeReplica, listOf(held(first)), end + 200)
        assertEquals(listOf("1"), orphans.map { it.id.request })
        assertNull(cell.processDue(end + 200)[batch.ticketId()])
        assertEquals(setOf(placed.decodeReplica), cell.replicasToList)
        cell.recordCancelled(placed.decodeReplica, orphans.single().id)
        assertEquals(emptySet<String>(), cell.replicasToList)
        assertTrue(cell.processDue(end + 200)[batch.ticketId()] is PlaceReply.Placed)
    }

    /** Guards against the cancellation of a live request whose ticket is still unknown to a new owner. */
    @Test
    fun unknownRequestsAreCancelledOnlyAfterTheirHoldersHadTimeToRenew() {
        val cell = openCell()
        val known = request("known")
        val unknown = request("unknown")
        val list = listOf(held(known), held(unknown))
        assertTrue(cell.reconcile("DECODE-1", list, OPEN).isEmpty())
        val placed = PlaceReply.Placed("known/1", 1, "PREFILL-1", "", "DECODE-1", "")
        cell.processUntil(OPEN, OPEN + 9_000)
        assertTrue(cell.update(report(known, placed), OPEN + 9_000))
        cell.processUntil(OPEN + 9_000, OPEN + 10_000)
        assertTrue(cell.reconcile("DECODE-1", list, OPEN + 10_099).isEmpty())
        assertEquals(emptySet<String>(), cell.replicasToList)
        cell.processDue(OPEN + 10_100)
        assertEquals(setOf("DECODE-1"), cell.replicasToList, "replicas to list at once")
        assertEquals(listOf("unknown"), cell.reconcile("DECODE-1", list, OPEN + 10_100).map { it.id.request })
    }

    /** Guards against a new owner that places requests before it knows which slots are occupied. */
    @Test
    fun aNewOwnerPlacesOnlyOnListedReplicas() {
        val cell = Cell(epoch = 2, startedAt = 0)
        cell.configure(upstreams(UpstreamRole.PREFILL, 1) + upstreams(UpstreamRole.DECODE, 2, slots = 1), emptyMap())
        val waiting = listOf("1", "2").map { request(it).copy(maxWaitMillis = 5_000) }
        waiting.forEach { assertNull(cell.place(it, 100)) }
        cell.reconcile("DECODE-1", listOf(held(request("old"))), now = 200)
        assertTrue(cell.processUntil(100, 1_500).values.all { it.isEmpty() }, "DECODE-1 is full, DECODE-2 not listed")
        cell.reconcile("DECODE-2", emptyList(), now = 1_500)
        val placed = cell.processDue(1_500).values.single() as PlaceReply.Placed
        assertEquals("DECODE-2", placed.decodeReplica)
    }

    /** Guards against two strong suspects on one replica, and against suspects that block other requests. */
    @Test
    fun strongSuspectsRunOnePerReplica() {
        val cell = openCell(prefills = 2, decodes = 2, slots = 4)
        val suspects = (1..3).map { request("s$it").copy(crashes = 2) }
        val placed = suspects.take(2).map { cell.placed(it, OPEN) }
        assertEquals(2, placed.map { it.decodeReplica }.toSet().size)
        assertEquals(2, placed.map { it.prefillReplica }.toSet().size)
        assertNull(cell.place(suspects[2], OPEN))
        cell.placed(request("innocent"), OPEN)
        cell.update(report(suspects[0], placed[0], released = true), OPEN + 100)
        val third = cell.processDue(OPEN + 100).getValue("s3/1") as PlaceReply.Placed
        assertEquals(placed[0].decodeReplica, third.decodeReplica)
    }

    /** Guards against all suspects of a crash on the same replica, and against suspects that wait needlessly. */
    @Test
    fun fourLightSuspectsRunOnOneReplica() {
        val cell = openCell(prefills = 3, decodes = 2, slots = 10)
        fun ended(id: String, placed: PlaceReply.Placed) =
            report(request(id).copy(crashes = 1), placed).copy(prefillDone = true)
        val suspects =
            (1..8).associate { number ->
                val now = OPEN + 100L * number
                val placed = cell.placed(request("s$number").copy(crashes = 1), now)
                cell.update(ended("s$number", placed), now)
                "s$number" to placed
            }
        assertEquals(listOf(4, 4), suspects.values.groupingBy { it.decodeReplica }.eachCount().values.toList())
        val later = OPEN + 1_000
        assertNull(cell.place(request("s9").copy(crashes = 1, maxWaitMillis = 9_000, attempt = 2), later))
        assertNull(cell.place(request("strong").copy(crashes = 2, maxWaitMillis = 9_000, attempt = 2), later))
        cell.placed(request("innocent"), later)
        val (first, placed) = suspects.entries.first()
        cell.update(ended(first, placed).copy(released = true), later)
        assertEquals(setOf("s9/2"), cell.processDue(later).keys)
    }

    /** Guards against placements on replicas that are leaving, do not answer, or failed an earlier attempt. */
    @Test
    fun unavailableReplicasGetNoPlacement() {
        val leaving = EngineLoad(incarnation = 1, running = 0, queuedPrefillTokens = 0, slots = 8, leaving = true)
        val cases: Map<String, Pair<Cell.() -> Unit, PlaceRequest>> =
            mapOf(
                "leaving by report" to ({ c: Cell -> c.recordLoad("DECODE-1", leaving, OPEN) } to request("1")),
                "unreachable" to ({ c: Cell -> c.recordLoad("DECODE-1", null, OPEN) } to request("1")),
                "avoided" to ({ _: Cell -> } to request("1").copy(avoid = setOf("DECODE-1"))),
            )
        cases.forEach { (name, case) ->
            val cell = openCell(decodes = 2)
            case.first(cell)
            assertEquals("DECODE-2", cell.placed(case.second, OPEN).decodeReplica, name)
        }
        val single = openCell(decodes = 1)
        single.placed(request("1").copy(avoid = setOf("DECODE-1")), OPEN)
    }

    /** Guards against a slot that idles during a long prefill, and a prefill that ends before its slot is free. */
    @Test
    fun onlyALongPrefillStartsBeforeItsSlotIsFree() {
        val cell = openCell(prefills = 2, slots = 1)
        val first = request("1")
        val placed = cell.placed(first, OPEN)
        (1..8).forEach { second ->
            val now = OPEN + second * 500
            cell.update(report(first, placed).copy(prefillDone = true, generatedTokens = second * 10), now)
            cell.processDue(now)
        }
        // 20 tokens remain: at most 1.2 s with margins. The prefills take 0.1 s and 2 s.
        val now = OPEN + 4_000
        val long = request("long").copy(promptTokens = 20_000, prefixHashes = emptyList(), priority = Priority.BATCH)
        assertNull(cell.place(request("short").copy(crashes = 2), now))
        assertNull(cell.place(long.copy(requestId = "cached", prefixHashes = List(20) { "h$it" }, crashes = 2), now))
        cell.placed(long, now)
        assertNull(cell.place(long.copy(requestId = "long2"), now), "the slot is bound")
    }

    /** Guards against baseline policies that reserve or queue, which would make the comparison meaningless. */
    @Test
    fun theBaselinesPlaceAtOnceBeyondTheSlots() {
        val expected =
            mapOf(
                CellPolicy.ROUND_ROBIN to listOf("DECODE-1", "DECODE-2", "DECODE-1", "DECODE-2"),
                CellPolicy.LEAST_LOAD to List(4) { "DECODE-2" },
            )
        expected.forEach { (policy, replicas) ->
            val cell = openCell(decodes = 2, slots = 1, settings = SchedulerSettings(policy = policy))
            listOf("DECODE-1" to 5, "DECODE-2" to 3).forEach { (name, running) ->
                cell.recordLoad(name, EngineLoad(incarnation = 1, running, queuedPrefillTokens = 0, slots = 1), OPEN)
            }
            assertEquals(replicas, (1..4).map { cell.placed(request("$it"), OPEN).decodeReplica }, "$policy")
        }
    }

    /** Guards against the prefill of a prefix that another replica already has in its cache for the workspace. */
    @Test
    fun theReplicaWithTheCachedPrefixIsPreferred() {
        val cell = openCell(prefills = 2, slots = 100)
        val long = request("1").copy(promptTokens = 5_000, prefixHashes = (1..5).map { "h$it" })
        assertEquals("PREFILL-1", cell.placed(long, OPEN).prefillReplica)
        val later = OPEN + 900
        assertEquals("PREFILL-1", cell.placed(request("filler"), later).prefillReplica, "both idle")
        val other = long.copy(requestId = "2", workspace = "other")
        assertEquals("PREFILL-2", cell.placed(other, later).prefillReplica, "another workspace's prefix")
        assertEquals("PREFILL-1", cell.placed(long.copy(requestId = "3"), later).prefillReplica)
    }
}
