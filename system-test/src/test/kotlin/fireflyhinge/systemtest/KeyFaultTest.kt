package fireflyhinge.systemtest

import fireflyhinge.config.UpstreamRole
import fireflyhinge.daemon.admin.ApiKey
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
class KeyFaultTest {
    private val workspaces = listOf("lauki", "klerki", "graudi").map { WorkspaceSpec(it, rate = 1e6, burst = 1e7) }

    @RegisterExtension
    @JvmField
    internal val running =
        FleetExtension(
            TestFleets.small(
                workspaces = workspaces,
                decodeArguments = TestFleets.SLOW_DECODE,
            ),
        )
    private val fleet = running.fleet
    private val operator = Operator(fleet)
    private val http = HttpCaller()
    private val caller = ChatCaller()
    private val vms = fleet.spec.vms.map { it.id }

    /** Guards against keys that stop working only because the store is down. */
    @Test
    @Order(1)
    fun keysWorkWhileTheStoreIsDown() {
        val outcomes = fleet.withoutStore { vms.flatMap { vm -> workspaces.map { chat(vm, it, SHORT) } } }
        assertEquals(emptyList<ChatOutcome>(), outcomes.filter { !it.whole })
    }

    /** Guards against a caller's key that reaches an engine or a service in any header or path. */
    @Test
    @Order(2)
    fun noUpstreamSeesAKey() {
        vms.forEach { vm ->
            workspaces.forEach { assertTrue(chat(vm, it, SHORT).whole) }
            assertEquals(OK, order(vm).status)
        }
        val received = fleet.spec.engines.associateWith { receivedBy(it.name) }
        assertTrue(received.filterKeys { it.role == UpstreamRole.SERVICE }.values.all { "x-request-id" in it })
        assertEquals(emptyList<String>(), received.filterValues { "key-of-" in it }.map { it.key.name })
    }

    /** Guards against a revoked key that goes on working on a VM or on an open stream. */
    @Test
    @Order(3)
    fun aRevokedKeyStopsOnEveryVm() = revoke(workspaces[1], mode = "off")

    /** Guards against the same when the store goes down as soon as it has confirmed the change. */
    @Test
    @Order(4)
    fun aRevokedKeyStopsOnEveryVmWhenTheStoreGoesDownAfterwards() = revoke(workspaces[2], mode = "refuse")

    private fun receivedBy(engine: String) =
        fleet.read(fleet.upstreams.getValue(engine).listening, "/control/received").toString()

    private fun revoke(revoked: WorkspaceSpec, mode: String) {
        val streams = vms.map { vm -> inBackground { chat(vm, revoked, LONG) } }
        val other = inBackground { chat(vms.last(), workspaces[0], LONG) }
        fleet.await("streams do not run") { fleet.held(setOf(UpstreamRole.DECODE)).size == vms.size + 1 }
        val answer = operator.send(vms[0], "DELETE", "workspaces/${revoked.name}/keys/${ApiKey.hash(revoked.key)}")
        assertEquals(OK, answer.status, answer.body)
        fleet.withoutStore(mode) {
            val seconds =
                fleet.secondsUntil("the key works", IN_FORCE_SECONDS) {
                    vms.all { chat(it, revoked, SHORT).code == "FH-2002" } && streams.all { it.isDone }
                }
            recovered("key revoked, store $mode, until it was refused on all VMs and streams had ended", seconds)
        }
        assertEquals(vms.map { "FH-2003" }, streams.map { it.get().code })
        assertTrue(other.get().whole, "the stream of another key was cut")
    }

    private fun chat(vm: String, workspace: WorkspaceSpec, tokens: Int): ChatOutcome {
        val call = ModelCalls(fleet).call("keys", tokens).copy(workspace = workspace.name, key = workspace.key)
        return caller.stream(fleet.callerAddress(vm), call)
    }

    private fun order(vm: String) =
        http.send(
            address = fleet.callerAddress(vm),
            method = "POST",
            path = "/services/${TestFleets.SERVICE}/reservations",
            headers = mapOf("Authorization" to "Bearer ${workspaces[0].key}", "Idempotency-Key" to "keys-$vm"),
        )

    private companion object {
        const val OK = 200
        const val SHORT = 5

        // 20 s, longer than the bound, so that a stream that is not ended is noticed.
        const val LONG = 800

        // The design page's time for a change to be in force on all VMs.
        const val IN_FORCE_SECONDS = 12.0
    }
}
