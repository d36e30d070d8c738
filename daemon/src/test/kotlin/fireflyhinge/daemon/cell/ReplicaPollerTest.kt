package fireflyhinge.daemon.cell

import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import fireflyhinge.schedule.CellKey
import fireflyhinge.schedule.SchedulerSettings
import fireflyhinge.time.MonotonicClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ReplicaPollerTest {
    private var millis = 0L
    private val clock = MonotonicClock { millis * 1_000_000 }
    private val engines = FakeEngines(slots = 2)
    private val runtime = CellRuntime(CellKey("m", 0), epoch = 1, clock, SchedulerSettings(), isActing = { true })
    private val replicas = listOf(UpstreamRole.PREFILL, UpstreamRole.DECODE).map(::upstream)
    private val poller = ReplicaPoller(replicas.last(), runtime, engines, clock)

    private fun upstream(role: UpstreamRole) =
        Upstream(
            name = "$role",
            service = "m",
            role = role,
            address = "$role:1",
            region = "r",
            failureDomain = "d",
            slots = 2,
        )

    /** Polls every 500 ms and decides every 100 ms, as the loops do more often. */
    private fun runUntil(end: Long) {
        while (millis < end) {
            millis += 100
            runtime.processDue()
            if (millis % 500 == 0L) poller.poll()
        }
    }

    /** Guards against requests of a dead holder that stay at the engine for another 5 s after their ticket expired. */
    @Test
    fun aReplicaWithAnExpiredTicketIsListedAtOnce() {
        runtime.configure(CellConfiguration(upstreams = replicas, weights = emptyMap()))
        runUntil(1_500)
        assertTrue(runtime.requestPlacement(placeRequest("1")).get() is PlaceReply.Placed)
        engines.held["DECODE:1"] = listOf(HeldRequest(EngineRequestId("1", 1), Holder("vm", 1), "1/1", ageMillis = 0))
        // Lists are due at 0.5, 5.5 and 10.5 s, and the next one at 15.5 s.
        runUntil(11_400)
        assertEquals(emptySet<EngineRequestId>(), engines.cancelled)
        runUntil(12_000)
        assertEquals(setOf(EngineRequestId("1", 1)), engines.cancelled)
    }
}
