package fireflyhinge.systemtest

import fireflyhinge.config.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import org.junit.jupiter.api.extension.RegisterExtension

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class EngineFaultTest {
    // Batch priority, because the long prefills exceed the first-token target of interactive requests.
    private val workspace = WorkspaceSpec("klerki", rate = 1e6, burst = 1e7, priority = Priority.BATCH)

    @RegisterExtension
    @JvmField
    internal val running =
        FleetExtension(
            TestFleets.small(
                workspaces = listOf(workspace),
                prefill = 2,
                prefillArguments = listOf("--prefill-us-per-token", "1000"),
            ),
        )
    private val fleet = running.fleet
    private val calls = ModelCalls(fleet)

    /** Guards against requests that end, or hold memory at both engines, when a KV transfer makes no progress. */
    @Test
    @Order(1)
    fun requestsCompleteElsewhereAndHoldNothingWhenTransfersStall() {
        val stalled = fleet.upstreams.getValue("prefill-1")
        val before = exports(stalled)
        fleet.control(stalled, "stall-transfers", mapOf("on" to true))
        try {
            val topics = (1..REQUESTS).map { "stalled transfer $it" }
            val start = System.nanoTime()
            val answers = topics.mapIndexed { i, topic -> calls.start(vm(i), topic, TOKENS) }.map { it.get() }
            val last = answers.flatMap { it.tokenTimes }.max()
            recovered("KV transfers of one prefill engine stall, until all answers ended", (last - start) / NANOS)
            assertWhole(topics, answers)
            assertTrue(exports(stalled) > before, "no transfer of prefill-1 was tried")
            val seconds = fleet.secondsUntil("engines hold requests", HELD_SECONDS) { fleet.held().isEmpty() }
            recovered("KV transfers stall, from the last token until the engines held nothing", seconds)
        } finally {
            fleet.control(stalled, "stall-transfers", mapOf("on" to false))
        }
    }

    /** Guards against answers that are lost or cut when the engine that reads their prompts is killed. */
    @Test
    @Order(2)
    fun requestsCompleteAfterTheirPrefillEngineWasKilled() {
        val victim = fleet.upstreams.getValue("prefill-2")
        val topics = (1..REQUESTS).map { "killed prefill $it " + "long ".repeat(LONG_PROMPT) }
        val started = topics.mapIndexed { i, topic -> calls.start(vm(i), topic, TOKENS) }
        fleet.await("prefill-2 reads no prompt") { heldAt(victim) > 0 }
        victim.kill()
        val killedAt = System.nanoTime()
        val answers = started.map { it.get() }
        val last = answers.flatMap { it.tokenTimes }.max()
        recovered("prefill engine killed during a prefill, until all answers ended", (last - killedAt) / NANOS)
        assertWhole(topics, answers)
        fleet.secondsUntil("engines hold requests", HELD_SECONDS) { fleet.held().isEmpty() }
    }

    private fun assertWhole(topics: List<String>, answers: List<ChatOutcome>) =
        assertEquals(
            topics.map { true to calls.expected(it, TOKENS) },
            answers.map { it.whole to it.text },
            "${answers.mapNotNull { it.code ?: it.failure }}",
        )

    private fun exports(engine: ManagedProcess) =
        fleet.read(engine.listening, "/control/counts")?.get("export")?.asInt() ?: 0

    private fun heldAt(engine: ManagedProcess) = fleet.read(engine.listening, "/v1/requests")?.size() ?: 0

    private fun vm(number: Int) = fleet.spec.vms[number % fleet.spec.vms.size].id

    private companion object {
        const val REQUESTS = 6
        const val TOKENS = 40

        /** Words of a prompt whose prefill takes about a second. */
        const val LONG_PROMPT = 1_000

        // Cancels are sent as an attempt ends and are answered within the engines' polling interval of 20 ms. A cancel
        // that is lost is repeated by the sweep of the cell's owner, which would take at least 10 s.
        const val HELD_SECONDS = 3.0
        const val NANOS = 1e9
    }
}
