package fireflyhinge.systemtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import org.junit.jupiter.api.extension.RegisterExtension
import java.util.concurrent.atomic.AtomicBoolean

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class LeavingTest {
    @RegisterExtension
    @JvmField
    internal val running =
        FleetExtension(
            TestFleets.small(
                vms = 4,
                decode = 4,
                decodeArguments = TestFleets.SLOW_DECODE,
            ),
        )
    private val fleet = running.fleet
    private val operator = Operator(fleet)
    private val calls = ModelCalls(fleet)

    /** Guards against new work for an upstream that an operator marked as leaving. */
    @Test
    @Order(1)
    fun anUpstreamMarkedByAnOperatorGetsNoNewWork() =
        leave("decode-1") {
            assertEquals(OK, operator.send("vm-1", "POST", "upstreams/decode-1/drain?leaving=true").status)
        }

    /** Guards against new work for an upstream whose own load report says that it leaves, with the store down. */
    @Test
    @Order(2)
    fun anUpstreamThatReportsItselfLeavingGetsNoNewWork() =
        fleet.withoutStore {
            leave("decode-2") { fleet.control(fleet.upstreams.getValue("decode-2"), "leaving", mapOf("on" to true)) }
        }

    /** Guards against requests that are cut, refused or lost when a VM is stopped under load. */
    @Test
    @Order(3)
    fun aStoppedDaemonLosesNoRequest() {
        val stopped = AtomicBoolean()
        val callers = (1..CALLERS).map { n -> inBackground { AddressedCaller(fleet, n).run(stopped::get) } }
        val long = calls.start("vm-2", "long answer on the stopped VM", LONG_ANSWER)
        Thread.sleep(LOAD_MILLIS)
        val status = fleet.daemons.getValue("vm-2").terminate(STOP_SECONDS)
        Thread.sleep(LOAD_MILLIS)
        stopped.set(true)
        val outcomes = callers.flatMap { it.get() } + long.get()
        assertEquals(emptyList<ChatOutcome>(), outcomes.filter { !it.whole })
        assertTrue(outcomes.size > CALLERS * 2, "only ${outcomes.size} requests")
        assertNotNull(status, "the daemon did not stop")
    }

    private fun leave(engine: String, mark: () -> Unit) {
        val process = fleet.upstreams.getValue(engine)
        val load = PacedLoad(fleet, fleet.spec.workspaces.first(), fleet.spec.vms.map { it.id }, perSecond = 20.0)
        val long = (1..LONG_REQUESTS).map { n -> calls.start("vm-3", "$engine leaves, request $n", LONG_ANSWER) }
        fleet.await("$engine gets no work") { imports(process) > 0 }
        mark()
        Thread.sleep(LEAVING_MILLIS)
        val before = imports(process)
        Thread.sleep(LOAD_MILLIS)
        val outcomes = load.finish()
        assertEquals(before, imports(process), "$engine got new work later than $LEAVING_MILLIS ms after the mark")
        assertEquals(emptyList<ChatOutcome>(), (outcomes + long.map { it.get() }).filter { !it.whole })
    }

    private fun imports(process: ManagedProcess) =
        fleet.read(process.listening, "/control/counts")?.get("import")?.asInt() ?: 0

    private companion object {
        const val OK = 200
        const val CALLERS = 12
        const val LONG_REQUESTS = 8
        const val LONG_ANSWER = 300
        const val LOAD_MILLIS = 4_000L

        // Callers' idle connections may stay open for a minute, and the daemon waits for their close.
        const val STOP_SECONDS = 120L

        // Promise P9.
        const val LEAVING_MILLIS = 3_000L
    }
}
