package fireflyhinge.schedule

import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineLoad
import fireflyhinge.peer.PlaceReply
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class PlacementExclusionsTest {
    private val known = SchedulerSettings().unknownTicketMillis

    private fun Cell.drained(now: Long = known) = exclusions.views(now).filter { it.drained }.map { it.upstream.name }

    /** Guards against placements on a replica that waits for an order, and an order before its requests have ended. */
    @Test
    fun anExcludedReplicaGetsNoPlacementAndIsDrainedAfterItsRequests() {
        val cell = openCell(decodes = 2)
        val load = EngineLoad(incarnation = 1, running = 0, queuedPrefillTokens = 0, slots = 2)
        cell.exclusions.views(OPEN).forEach { cell.recordLoad(it.upstream.name, load, OPEN) }
        assertEquals(emptyList<String>(), cell.drained(), "only an excluded replica is drained")
        val first = request("1")
        val placed = (cell.requestPlacement(first, OPEN) ?: cell.processDue(OPEN)["1/1"]) as PlaceReply.Placed
        cell.exclusions.exclude(setOf(placed.decodeReplica))
        assertEquals(emptyList<String>(), cell.drained())
        listOf("2", "3").forEach { id ->
            cell.requestPlacement(request(id), OPEN)
            val other = cell.processDue(OPEN).getValue("$id/1") as PlaceReply.Placed
            assertFalse(other.decodeReplica == placed.decodeReplica)
        }
        cell.update(report(first, placed, released = true), OPEN + 50)
        assertEquals(listOf(placed.decodeReplica), cell.drained())
    }

    /** Guards against an order from a new owner that does not know the tickets of the previous owner yet. */
    @Test
    fun nothingIsDrainedBeforeTheTicketsAreKnown() {
        val cell = Cell(epoch = 1, startedAt = 0)
        cell.configure(upstreams(UpstreamRole.DECODE, 1), emptyMap())
        cell.exclusions.exclude(setOf("DECODE-1"))
        assertEquals(emptyList<String>(), cell.drained(known - 1))
        assertEquals(listOf("DECODE-1"), cell.drained(known))
    }

    /** Guards against placements in a new role that the engine does not have yet. */
    @Test
    fun aReplicaWhoseRoleChangesIsExcluded() {
        val cell = openCell()
        val changed = upstreams(UpstreamRole.DECODE, 1).map { it.copy(role = UpstreamRole.PREFILL) }
        cell.configure(changed + upstreams(UpstreamRole.PREFILL, 1), emptyMap())
        assertTrue(cell.drained().contains("DECODE-1"), "it is excluded and has no ticket")
    }
}
