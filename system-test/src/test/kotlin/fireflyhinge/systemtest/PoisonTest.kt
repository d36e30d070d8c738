package fireflyhinge.systemtest

import fireflyhinge.config.UpstreamRole
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.extension.RegisterExtension

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PoisonTest {
    // A crash ends an engine's process, so each of the two cases has its three crashes and a pair of engines is left.
    @RegisterExtension
    @JvmField
    internal val running =
        FleetExtension(
            TestFleets.small(
                prefill = 1,
                decode = 8,
                decodeArguments = TestFleets.SLOW_DECODE,
            ),
        )
    private val fleet = running.fleet
    private val calls = ModelCalls(fleet)
    private val decoders = fleet.spec.engines.filter { it.role == UpstreamRole.DECODE }.map { it.name }

    /** Guards against a request that crashes one engine after another when it is sent again through other VMs. */
    @Test
    fun aPromptThatCrashesEnginesIsBarredAfterThreeCrashes() = poison(word = "nightshade", mode = "off")

    /** Guards against the same when the store is down as well. */
    @Test
    fun aPromptThatCrashesEnginesIsBarredWhileTheStoreIsDown() = poison(word = "hemlock", mode = "refuse")

    private fun poison(word: String, mode: String) {
        val before = crashed()
        live().forEach { fleet.control(fleet.upstreams.getValue(it), "poison", mapOf("words" to listOf(word))) }
        fleet.withoutStore(mode) {
            val innocent = (1..INNOCENT).map { "innocent $it with the store $mode" }
            val answers = innocent.mapIndexed { i, topic -> calls.start(vm(i), topic, TOKENS) }
            fleet.await("engines run no innocent request") { fleet.held(setOf(UpstreamRole.DECODE)).size == INNOCENT }
            val outcomes = (0 until ATTEMPTS).map { calls.start(vm(it), word, tokens = 5).get() }
            println("poison with the store $mode: ${outcomes.map { it.code }}, ${crashed() - before} crashes")
            assertTrue(crashed() - before in 1..MAX_CRASHES, "${crashed() - before} engines crashed")
            assertEquals("FH-3004" to "not_run", outcomes.last().let { it.code to it.run }, "$outcomes")
            val texts = answers.map { it.get() }.map { it.whole to it.text }
            assertEquals(innocent.map { true to calls.expected(it, TOKENS) }, texts)
        }
    }

    private fun live() = decoders.filter { fleet.upstreams.getValue(it).alive }

    private fun crashed() = decoders.size - live().size

    private fun vm(number: Int) = fleet.spec.vms[number % fleet.spec.vms.size].id

    private companion object {
        const val MAX_CRASHES = 3
        const val ATTEMPTS = 6
        const val INNOCENT = 10
        const val TOKENS = 400
    }
}
