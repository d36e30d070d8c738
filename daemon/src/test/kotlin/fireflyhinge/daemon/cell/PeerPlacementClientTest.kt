package fireflyhinge.daemon.cell

import fireflyhinge.config.Priority
import fireflyhinge.peer.PlaceReply
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture

class PeerPlacementClientTest {
    private val fleet = FakeFleet(slots = 1, "a" to "r1", "b" to "r1", "c" to "r2")

    @AfterEach
    fun stop() = fleet.close()

    private fun start(vararg regions: String) {
        fleet.snapshot =
            fleet.snapshot.copy(upstreams = regions.flatMap { fleet.upstreams(it, slots = 1) }.associateBy { it.name })
        fleet.owners["r1"] = "a"
        fleet.owners["r2"] = "c"
        fleet.start()
    }

    private fun place(vm: String, id: String, maxWaitMillis: Long = 5_000, abandoned: () -> Boolean = { false }) =
        fleet[vm].client.place(placeRequest(id, vm, maxWaitMillis), abandoned)

    private fun placed(outcome: Outcome<PlaceReply.Placed>): PlaceReply.Placed =
        (outcome as? Outcome.Success)?.value ?: error("not placed: $outcome")

    /** Guards against a slot that two requests get, and against a release that does not reach the remote owner. */
    @Test
    fun aSlotIsGivenOnAfterItsRelease() {
        start("r1")
        val first = placed(place("b", "1"))
        assertTrue(fleet["b"].client.isValid(first.ticket))
        val second = CompletableFuture.supplyAsync { place("a", "2") }
        Thread.sleep(300)
        assertFalse(second.isDone)
        fleet["b"].client.release(first.ticket)
        assertEquals("r1-DECODE", placed(second.get()).decodeReplica)
    }

    /** Guards against a slot leaked by a placement whose reply is lost: the next question gets the same ticket. */
    @Test
    fun aLostReplyDoesNotLeakTheSlot() {
        start("r1")
        fleet["b"].client.release(placed(place("b", "0")).ticket)
        fleet.losesReply += "a"
        assertEquals("1/1", placed(place("b", "1")).ticket)
    }

    /** Guards against a slot that a caller gets after it has left. */
    @Test
    fun anAbandonedRequestIsWithdrawn() {
        start("r1")
        val first = placed(place("b", "1"))
        val until = System.nanoTime() + 300_000_000
        assertTrue(place("b", "2") { System.nanoTime() > until } is Outcome.Failure)
        fleet["b"].client.release(first.ticket)
        placed(place("a", "3", maxWaitMillis = 1_000))
    }

    /** Guards against a request that is lost while its owner changes, and a new owner that gives a held slot twice. */
    @Test
    fun placementsSurviveATakeover() {
        start("r1")
        val first = placed(place("b", "1"))
        fleet.unreachable += "a"
        fleet.owners["r1"] = "b"
        fleet.epoch++
        assertTrue(place("b", "2", maxWaitMillis = 2_000) is Outcome.Failure)
        assertTrue(fleet["b"].client.isValid(first.ticket))
        fleet["b"].client.release(first.ticket)
        placed(place("b", "3", maxWaitMillis = 1_000))
    }

    /** Guards against a region without replicas that refuses, and against uncounted cross-region requests. */
    @Test
    fun aRegionWithoutReplicasUsesAnother() {
        start("r2")
        assertEquals("r2-DECODE", placed(place("b", "1")).decodeReplica)
        val counted = fleet["b"].registry.scrape().flatMap { it.dataPoints }
        assertEquals(1, counted.size)
    }

    private fun late(id: String, maxWaitMillis: Long): Outcome<PlaceReply.Placed> {
        val request = placeRequest(id, "b", maxWaitMillis).copy(priority = Priority.INTERACTIVE, firstTokenMillis = 300)
        return fleet["b"].client.place(request) { false }
    }

    /** Guards against requests that wait late at home although another region has room. */
    @Test
    fun aLateRequestUsesAnotherRegionWithRoom() {
        start("r1", "r2")
        placed(place("b", "1"))
        assertEquals("r2-DECODE", placed(late("2", maxWaitMillis = 5_000)).decodeReplica)
    }

    /** Guards against late requests that are lost when no region has room, and that are refused after their limit. */
    @Test
    fun aLateRequestWaitsAtHomeWhileNoRegionHasRoom() {
        start("r1", "r2")
        val first = placed(place("b", "1"))
        placed(late("2", maxWaitMillis = 5_000))
        val started = System.nanoTime()
        assertEquals(ResultCode.CAPACITY_EXHAUSTED, (late("3", maxWaitMillis = 1_000) as Outcome.Failure).code)
        assertTrue(System.nanoTime() - started < 1_500_000_000)
        val waiting = CompletableFuture.supplyAsync { late("4", maxWaitMillis = 5_000) }
        Thread.sleep(1_000)
        assertFalse(waiting.isDone)
        fleet["b"].client.release(first.ticket)
        assertEquals("r1-DECODE", placed(waiting.get()).decodeReplica)
    }

    /** Guards against an endless wait for an owner that does not exist. */
    @Test
    fun withoutAnOwnerTheRequestIsRefusedInTime() {
        start("r1")
        fleet.owners.clear()
        val started = System.nanoTime()
        val outcome = place("b", "1", maxWaitMillis = 300)
        assertEquals(ResultCode.PLACEMENT_UNAVAILABLE, (outcome as Outcome.Failure).code)
        assertTrue(System.nanoTime() - started < 1_000_000_000)
    }
}
