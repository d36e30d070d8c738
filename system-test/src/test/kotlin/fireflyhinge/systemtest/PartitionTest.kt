package fireflyhinge.systemtest

import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.config.UpstreamRole
import fireflyhinge.daemon.admin.ApiKey
import org.junit.jupiter.api.AfterAll
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
class PartitionTest {
    private val workspaces = listOf("klerki", "lauki").map { WorkspaceSpec(it, rate = 1e6, burst = 1e7) }
    private val links = FleetLinks(TestFleets.small(workspaces = workspaces))

    @RegisterExtension
    @JvmField
    internal val running = FleetExtension(links.spec)
    private val fleet = running.fleet
    private val http = HttpCaller()
    private val vms = fleet.spec.vms.map { it.id }
    private val others = vms - ALONE

    @AfterAll
    fun closeLinks() = links.close()

    /**
     * Guards against failed requests and VMs that count as dead because open connections between VMs are silent. Plain
     * calls are charged at a peer, and the streams' tickets are renewed at one.
     */
    @Test
    @Order(1)
    fun silentPeerConnectionsAreReplaced() {
        val streams = vms.map { ModelCalls(fleet).start(it, "silence at $it", STREAM_TOKENS) }
        fleet.await("streams do not run") { fleet.held(setOf(UpstreamRole.DECODE)).size == vms.size }
        val silenced = links.silencePeers(fleet)
        assertTrue(silenced > 0, "no connection between daemons was open")
        val end = System.nanoTime() + SILENCE_NANOS
        val calls = mutableListOf<HttpAnswer>()
        while (System.nanoTime() < end) {
            vms.forEach { vm ->
                calls += order(vm, "silence-${calls.size}")
                assertEquals(vms.toSet(), addresses(vm), "addresses that $vm gives")
            }
        }
        println("silenced connections: $silenced, calls: ${calls.size}")
        assertEquals(emptyList<HttpAnswer>(), calls.filter { it.status != OK })
        assertEquals(emptyList<ChatOutcome>(), streams.map { it.get() }.filter { !it.whole })
    }

    /**
     * Guards against a VM that serves a key although it may have missed its revocation, that refuses what needs no key,
     * that callers are still sent to, or that serves again before it has caught up.
     */
    @Test
    @Order(2)
    fun aVmWithoutContactRefusesUntilItHasCaughtUp() {
        fleet.objects.write("routes", OPEN, Route(OPEN, RouteKind.SERVICE, TestFleets.SERVICE, open = true))
        fleet.await("the open route is unknown") { vms.all { open(it) == OK } }
        links.cutOff(fleet, setOf(ALONE))
        val seconds = fleet.secondsUntil("the VM serves", ISOLATED_SECONDS) { models(workspaces[0]).code == "FH-2005" }
        recovered("VM cut off, until it refused authenticated requests", seconds)
        assertTrue(seconds > MIN_SECONDS, "isolated after $seconds s")
        refusesAuthenticatedRequestsOnly()
        (others + ALONE).forEach { vm -> assertTrue(ALONE !in addresses(vm), "$vm gives the address of $ALONE") }
        val revoked = workspaces[1]
        val key = ApiKey.hash(revoked.key)
        assertEquals(OK, Operator(fleet).send(others[0], "DELETE", "workspaces/${revoked.name}/keys/$key").status)
        links.heal()
        val seen = mutableListOf<String?>()
        val back =
            fleet.secondsUntil("the VM does not serve", RECOVERY_SECONDS) {
                seen += models(revoked).run { code ?: "$status" }
                models(workspaces[0]).status == OK && vms.all { addresses(it) == vms.toSet() }
            }
        recovered("VM reconnected, until it served and was in address answers", back)
        seen += models(revoked).run { code ?: "$status" }
        assertEquals(setOf("FH-2005", "FH-2002"), seen.toSet(), "answers to the revoked key: $seen")
    }

    private fun refusesAuthenticatedRequestsOnly() {
        val before = prefills()
        val call = ModelCalls(fleet).call("isolation", tokens = 5)
        val chat = ChatCaller().stream(fleet.callerAddress(ALONE), call)
        assertEquals(listOf("FH-2005", "not_run"), listOf(chat.code, chat.run))
        val order = order(ALONE, "isolated")
        assertEquals(listOf("FH-2005", "not_run"), listOf(order.code, order.run))
        assertEquals(OK, open(ALONE))
        assertEquals(before, prefills())
    }

    private fun order(vm: String, idempotencyKey: String): HttpAnswer {
        val headers = mapOf("Authorization" to "Bearer ${workspaces[0].key}", "Idempotency-Key" to idempotencyKey)
        return http.send(fleet.callerAddress(vm), "POST", "/services/${TestFleets.SERVICE}/reservations", headers)
    }

    private fun prefills() =
        listOf("prefill-1", "prefill-2").map {
            fleet.read(fleet.upstreams.getValue(it).listening, "/control/counts")?.get("prefill")?.asInt() ?: 0
        }

    private fun models(workspace: WorkspaceSpec): HttpAnswer =
        http.send(fleet.callerAddress(ALONE), "GET", "/v1/models", mapOf("Authorization" to "Bearer ${workspace.key}"))

    private fun open(vm: String) = http.send(fleet.callerAddress(vm), "GET", "/services/$OPEN/hours").status

    private fun addresses(vm: String): Set<String> {
        val answer = http.send(fleet.callerAddress(vm), "GET", "/v1/addresses")
        return answer.json?.get("addresses")?.map { it["vm"].asText() }.orEmpty().toSet()
    }

    private companion object {
        const val ALONE = "vm-1"
        const val OPEN = "hours"
        const val OK = 200

        // 4 s of decoding or more.
        const val STREAM_TOKENS = 800

        // Longer than the 3 s after which a VM without news counts as unresponsive.
        const val SILENCE_NANOS = 6_000_000_000L

        // The limit of 10 s runs from the last contact, up to 2 s before the cut; peers' messages time out after 3 s.
        const val MIN_SECONDS = 7.0
        const val ISOLATED_SECONDS = 14.0
        const val RECOVERY_SECONDS = 12.0
    }
}
