package fireflyhinge.daemon.cell

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import fireflyhinge.result.Outcome
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class CellServiceTest {
    private val fleet = FakeFleet(slots = 2, "a" to "r1")

    @BeforeEach
    fun start() {
        fleet.snapshot = fleet.snapshot.copy(upstreams = fleet.upstreams("r1", slots = 2).associateBy { it.name })
        fleet.owners["r1"] = "a"
        fleet.engines.held["r1-DECODE:1"] = listOf(held("orphan"))
        fleet.start()
    }

    @AfterEach
    fun stop() = fleet.close()

    private fun held(id: String) = HeldRequest(EngineRequestId(id, 1), Holder("a", 1), "$id/1", ageMillis = 0)

    private fun place(id: String) = fleet["a"].client.place(placeRequest(id, "a", maxWaitMillis = 25_000)) { false }

    /** Guards against orphans that are listed but never cancelled, and a renewed request cancelled with them. */
    @Test
    fun orphansAreCancelledAtTheEngine() {
        val started = System.nanoTime()
        assertTrue(place("live") is Outcome.Success)
        fleet.engines.held["r1-DECODE:1"] = listOf("orphan", "live").map(::held)
        assertTrue(place("waiting") is Outcome.Success)
        val millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - started)
        // An unknown request is given 10.1 s and is listed every 5 s; its slot is free only when it is gone.
        assertTrue(millis in 10_000..16_600, "placed after $millis ms")
        assertEquals(setOf(EngineRequestId("orphan", 1)), fleet.engines.cancelled)
        assertTrue(fleet["a"].client.isValid("live/1"), "renewed for longer than its time")
    }

    /** Guards against a cell that gets no decisions or load reports because those of another one fail. */
    @Test
    fun aCellThatFailsCostsNoOtherCell() {
        val others = (1..9).flatMap { n -> fleet.upstreams("r1", slots = 2).map { it.copy("$n", "n$n") } }
        fleet.snapshot =
            fleet.snapshot.copy(upstreams = fleet.snapshot.upstreams + others.associateBy { it.service + it.role })
        assertTrue(place("first") is Outcome.Success)
        fleet.failing = { "m" !in it }
        assertTrue(place("second") is Outcome.Success)
        val waiting = CompletableFuture.supplyAsync { place("third") }
        Thread.sleep(200)
        fleet["a"].client.release("first/1")
        assertTrue(waiting.get(5, TimeUnit.SECONDS) is Outcome.Success)
    }

    /** Guards against askers that wait for an owner that may no longer act. */
    @Test
    fun aLostLeaseSendsAskersAway() {
        val answer = fleet["a"].service.requestPlacement(placeRequest("1"))
        fleet.owners["r1"] = "b"
        assertTrue(answer.get(1, TimeUnit.SECONDS) is PlaceReply.NotOwner)
        val later = fleet["a"].service.requestPlacement(placeRequest("1"))
        assertEquals(PlaceReply.NotOwner(owner = "b"), later.get(1, TimeUnit.SECONDS))
    }
}
