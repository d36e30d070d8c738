package fireflyhinge.systemtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import org.junit.jupiter.api.extension.RegisterExtension
import java.util.concurrent.TimeUnit

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class QuotaFaultTest {
    private val steady = WorkspaceSpec("graudi", rate = RATE, burst = BURST)
    private val greedy = WorkspaceSpec("klerki", rate = RATE, burst = BURST)

    @RegisterExtension
    @JvmField
    internal val running = FleetExtension(TestFleets.small(vms = 5, workspaces = listOf(steady, greedy)))
    private val fleet = running.fleet

    /** Guards against refusals of requests within their rate when only the store is down. */
    @Test
    @Order(1)
    fun aWorkspaceKeepsItsRateWhileTheStoreIsDown() {
        listOf("refuse", "silent").forEach { mode ->
            val outcomes =
                fleet.withoutStore(mode) {
                    load(steady, STEADY_FACTOR, fleet.spec.vms.map { it.id }).run {
                        Thread.sleep(TimeUnit.SECONDS.toMillis(STEADY_SECONDS))
                        finish()
                    }
                }
            assertEquals(emptyList<ChatOutcome>(), outcomes.filter { !it.whole }, "store outage: $mode")
            assertTrue(outcomes.size >= STEADY_SECONDS * STEADY_FACTOR * RATE / PacedLoad.COST - 1)
        }
    }

    /** Guards against tokens beyond rate and burst when the bucket's owner is killed, or paused and resumed. */
    @Test
    @Order(2)
    fun noTokensBeyondRateAndBurstWhileTheOwnerFails() {
        val load = load(greedy, GREEDY_FACTOR, fleet.spec.vms.map { it.id })
        awaitServed(load, System.nanoTime())
        val killedAt = System.nanoTime()
        val first = fleet.ownerOf(BUCKET)
        fleet.daemons.getValue(first).kill()
        recovered("quota owner killed, first request served", awaitServed(load, killedAt))
        fleet.await("the shard map still names the killed owner") { fleet.ownerOf(BUCKET) != first }
        val second = fleet.ownerOf(BUCKET)
        pausePastLease(second, load)
        val outcomes = load.finish()
        assertEquals(0.0, maxOf(0.0, RateExcess.of(outcomes, RATE, BURST)), "admitted beyond rate and burst")
        val served = outcomes.count { it.whole }
        println("greedy workspace: ${outcomes.size} sent, $served served, codes ${codes(outcomes)}")
    }

    private fun pausePastLease(owner: String, load: PacedLoad) {
        val resumedAt =
            fleet.withoutStore {
                val process = fleet.daemons.getValue(owner)
                process.pause()
                try {
                    Thread.sleep(PAUSE_MILLIS)
                } finally {
                    process.resume()
                }
                System.nanoTime().also { Thread.sleep(OUTAGE_AFTER_RESUME_MILLIS) }
            }
        recovered("quota owner paused ${PAUSE_MILLIS / 1000} s with the store down", awaitServed(load, resumedAt))
    }

    private fun load(workspace: WorkspaceSpec, factor: Double, vms: List<String>) =
        PacedLoad(fleet, workspace, vms, perSecond = factor * RATE / PacedLoad.COST)

    /** Seconds from [since] until a request that was sent after it is answered in full. */
    private fun awaitServed(load: PacedLoad, since: Long): Double {
        fun served() = load.outcomes.filter { it.whole && it.intendedAt > since }.minOfOrNull { it.endedAt }
        fleet.secondsUntil("no request is served", SERVED_SECONDS, { "${codes(load.outcomes)}" }) { served() != null }
        return (checkNotNull(served()) - since) / TimeUnit.SECONDS.toNanos(1).toDouble()
    }

    private fun codes(outcomes: Collection<ChatOutcome>) =
        outcomes.filter { !it.whole }.groupingBy { it.code ?: "no answer" }.eachCount()

    private companion object {
        const val RATE = 500.0
        const val BURST = 1_000.0
        const val BUCKET = "quota/klerki"
        const val STEADY_FACTOR = 0.9
        const val GREEDY_FACTOR = 5.0
        const val STEADY_SECONDS = 8L
        const val SERVED_SECONDS = 60.0

        // Longer than the lease of 4 s and the successor's wait of 4.04 s.
        const val PAUSE_MILLIS = 7_000L
        const val OUTAGE_AFTER_RESUME_MILLIS = 3_000L
    }
}
