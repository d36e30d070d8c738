package fireflyhinge.systemtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.extension.RegisterExtension

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class NonIdempotentCallTest {
    @RegisterExtension
    @JvmField
    internal val running = FleetExtension(TestFleets.small(vms = 4, prefill = 1, decode = 1))
    private val fleet = running.fleet
    private val http = HttpCaller()
    private val vms = fleet.spec.vms.map { it.id }
    private val service get() = fleet.upstreams.values.first { it.name.startsWith("service") }

    /** Each case starts without the faults of the one before and after shards of a killed VM were taken over. */
    @BeforeEach
    fun settle() {
        delay(millis = 0)
        val round = System.nanoTime()
        fleet.await(
            "calls are not served"
        ) { fleet.spec.vms.all { order(it.id, "settle-${it.id}-$round").status == OK } }
    }

    /** Guards against a second booking when a caller repeats a call whose VM was killed while it ran. */
    @Test
    fun aCallWhoseVmWasKilledRunsOnce() {
        delay(millis = 3_000)
        val first = inBackground { order("vm-1", "vm-killed") }
        fleet.await("the call does not run") { runs("vm-killed") == 1 }
        fleet.daemons.getValue("vm-1").kill()
        assertEquals(0, first.get().status)
        val repeats = listOf("vm-2", "vm-3").map { order(it, "vm-killed") }
        fleet.restart("vm-1")
        assertNeverNotRun(repeats)
        assertEquals(1, runs("vm-killed"))
    }

    /** Guards against a second booking or a false "not run" when the store fails while the claimed call's VM dies. */
    @Test
    fun aCallWhoseVmWasKilledDuringAnOutageRunsOnce() {
        delay(millis = 3_000)
        val first = inBackground { order("vm-4", "killed-in-outage") }
        fleet.await("the call does not run") { runs("killed-in-outage") == 1 }
        fleet.withoutStore {
            fleet.daemons.getValue("vm-4").kill()
            assertEquals(0, first.get().status)
            assertTrue(order("vm-2", "killed-in-outage").status != OK)
        }
        fleet.restart("vm-4")
        assertNeverNotRun(listOf("vm-2", "vm-3").map { order(it, "killed-in-outage") })
        assertEquals(1, runs("killed-in-outage"))
    }

    /** Guards against a second run, or none, when the store's reply to the claim or to the stored answer is lost. */
    @Test
    fun lostStoreRepliesDoNotRepeatTheCall() {
        (1..2).forEach { lost ->
            val key = "lost-$lost"
            fleet.control(fleet.store, "lose-replies", mapOf("count" to lost))
            val answers = listOf(order("vm-2", key), order("vm-3", key))
            fleet.control(fleet.store, "lose-replies", mapOf("count" to 0))
            assertEquals(listOf(OK, OK), answers.map { it.status }, "$answers")
            assertEquals(1, runs(key))
        }
    }

    /** Guards against calls that run without a claim, and against refusals that deny a run that took place. */
    @Test
    fun callsAreRefusedAndNotRunWhileTheStoreIsDown() {
        listOf("refuse", "close", "silent").forEach { mode ->
            val key = "outage-$mode"
            val refused = fleet.withoutStore(mode) { order("vm-3", key) }
            assertEquals(UNAVAILABLE to "not_run", refused.status to refused.run, "$refused")
            assertEquals(0, runs(key), "ran although the answer says not run: $mode")
            fleet.await("the call is not served after the outage") { order("vm-2", key).status == OK }
            assertEquals(1, runs(key))
        }
    }

    /** Guards against two runs when callers send the same key to several VMs at the same time. */
    @Test
    fun theSameKeyOnAllVmsAtOnceRunsOnce() {
        delay(millis = 300)
        repeat(ROUNDS) { round ->
            val answers = vms.map { inBackground { order(it, "race-$round") } }.map { it.get() }
            assertEquals(answers.map { OK }, answers.map { it.status }, "$answers")
            assertEquals(1, runs("race-$round"))
        }
    }

    /** Guards against a repeat of a call that ran and whose connection closed without an answer. */
    @Test
    fun aCallThatRanWithoutAnAnswerIsNotRepeated() {
        fleet.control(service, "close-after-run", mapOf("count" to 1))
        val answers = listOf(order("vm-2", "closed"), order("vm-3", "closed"))
        assertEquals(listOf("FH-6001", "FH-6001"), answers.map { it.code }, "$answers")
        assertNeverNotRun(answers)
        assertEquals(1, runs("closed"))
    }

    private fun assertNeverNotRun(answers: List<HttpAnswer>) =
        assertTrue(answers.all { it.status == OK || it.run == "unknown" }, "$answers")

    private fun order(vm: String, key: String): HttpAnswer =
        http.send(
            address = fleet.callerAddress(vm),
            method = "POST",
            path = "/services/${TestFleets.SERVICE}/reservations",
            headers =
            mapOf("Authorization" to "Bearer ${fleet.spec.workspaces.first().key}", "Idempotency-Key" to key),
            body = mapOf("slot" to "2026-12-04T10:00"),
        )

    private fun delay(millis: Int) {
        fleet.control(service, "delay", mapOf("millis" to millis))
    }

    private fun runs(key: String): Int = fleet.read(service.listening, "/control/counts")?.get(key)?.asInt() ?: 0

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val ROUNDS = 3
    }
}
