package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
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
class EngineOrderTest {
    @RegisterExtension
    @JvmField
    internal val running =
        FleetExtension(TestFleets.small(vms = 5, decode = DECODES, decodeArguments = TestFleets.SLOW_DECODE + ENGINE))
    private val fleet = running.fleet
    private val operator = Operator(fleet)
    private val calls = ModelCalls(fleet)
    private val decodes = (1..DECODES).map { "decode-$it" }

    /** Guards against two operators who both believe that their desired state is in force. */
    @Test
    @Order(1)
    fun oneOfTwoRacingOperatorsGetsAConflict() {
        ignoreTokens()
        val long = calls.start("vm-3", "a version that changes", LONG_ANSWER)
        val version = fleet.read(fleet.store.listening, "/v1/objects/upstreams/$ENGINE_NAME")?.get("version")?.asLong()
        val answers =
            listOf("vm-1" to "v-a", "vm-2" to "v-b")
                .map { (vm, wanted) -> inBackground { wanted to setVersion(vm, wanted, version) } }
                .map { it.get() }
        assertEquals(setOf(OK, CONFLICT), answers.map { it.second.status }.toSet(), "$answers")
        assertEquals("FH-7002", answers.single { it.second.status == CONFLICT }.second.code)
        val winner = answers.single { it.second.status == OK }.first
        val seconds = fleet.secondsUntil("$winner is not served", ORDER_SECONDS) { served() == winner }
        recovered("desired version set by one of two operators, until the engine served it", seconds)
        assertEquals(listOf(winner), orders(ENGINE_NAME).filter { it["action"].asText() == "version" }.arguments())
        fleet.await("the status does not show $winner as settled") { phase(ENGINE_NAME) == "SETTLED" }
        val outcome = long.get()
        assertTrue(outcome.whole, "${outcome.code} ${outcome.failure}")
    }

    /** Guards against an order of a paused owner that reaches the engine after one of its successor (P12). */
    @Test
    @Order(2)
    fun aPausedOwnerGivesNoOrderAfterItsSuccessor() =
        (1..ROUNDS).forEach { round ->
            val owner = fleet.ownerOf(CELL)
            val engine = fleet.upstreams.getValue(ENGINE_NAME)
            // The owner decides on an order and waits for the engine's list of requests, when it is paused.
            engine.pause()
            assertEquals(OK, setVersion(owner, "v-$round-old").status)
            Thread.sleep(DECISION_MILLIS + round * DECISION_STEP_MILLIS)
            val process = fleet.daemons.getValue(owner)
            process.pause()
            engine.resume()
            val other = fleet.spec.vms.map { it.id }.first { it != owner }
            try {
                fleet.await("the shard map still names the paused owner") { fleet.ownerOf(CELL) != owner }
                assertEquals(OK, setVersion(other, "v-$round-new").status)
                fleet.await("the new owner gives no order") { served() == "v-$round-new" }
            } finally {
                process.resume()
            }
            Thread.sleep(AFTER_RESUME_MILLIS)
            val fences = orders(ENGINE_NAME).map { it["fence"].asLong() }
            assertEquals(fences.sorted(), fences, "an older order came after a newer one: ${orders(ENGINE_NAME)}")
            assertTrue(fences.last() / ORDERS_PER_EPOCH > fences.first() / ORDERS_PER_EPOCH, "one owner only: $fences")
            assertEquals("v-$round-new", served())
        }

    /** Guards against a load that is lost, given twice, or joined by more than one other when its owner dies. */
    @Test
    @Order(3)
    fun loadsGoOnWhenTheOwnerIsKilled() {
        val owner = fleet.ownerOf(CELL)
        val other = fleet.spec.vms.map { it.id }.first { it != owner }
        decodes.forEach { assertEquals(OK, set(other, it, "adapters" to listOf(ADAPTER)).status) }
        fleet.await("no engine loads") { loading() > 0 }
        fleet.daemons.getValue(owner).kill()
        var most = 0
        val seconds =
            fleet.secondsUntil("the adapters are not loaded", LOAD_SECONDS) {
                most = maxOf(most, loading())
                decodes.all { engine -> load(engine)["adapters"].any { it.asText() == ADAPTER } }
            }
        recovered("owner killed during a load, until all $DECODES engines had loaded", seconds)
        assertTrue(most <= 2, "$most engines loaded at once")
        decodes.forEach { assertEquals(listOf(ADAPTER), orders(it).arguments().filter(ADAPTER::equals), it) }
    }

    /** The engines ignore tokens, and their configuration says so. */
    private fun ignoreTokens() =
        fleet.spec.engines.filter { it.name in decodes }.forEach {
            val upstream = fleet.objects.upstream(it, fleet.upstreams.getValue(it.name).listening)
            fleet.objects.write("upstreams", it.name, upstream.copy(checksFence = false))
        }

    private fun set(vm: String, engine: String, field: Pair<String, Any>, expected: Long? = null): HttpAnswer {
        val condition = expected?.let { "?expected_version=$it" }.orEmpty()
        return operator.send(vm, "PATCH", "upstreams/$engine$condition", mapOf(field))
    }

    private fun setVersion(vm: String, version: String, expected: Long? = null) =
        set(vm, ENGINE_NAME, "modelVersion" to version, expected)

    private fun served(): String? = load(ENGINE_NAME)["version"]?.asText()

    private fun load(engine: String) = read(engine, "/v1/load")

    private fun orders(engine: String) = read(engine, "/control/orders").toList()

    private fun List<JsonNode>.arguments() = map { it["argument"].asText() }

    private fun loading() = decodes.count { load(it)["order"]?.get("state")?.asText() == "RUNNING" }

    private fun phase(engine: String): String? {
        val status = fleet.read(fleet.controlAddress("vm-4"), "/admin/v1/orders?upstream=$engine")
        return status?.get(0)?.get("progress")?.get("phase")?.asText()
    }

    private fun read(engine: String, path: String) =
        checkNotNull(fleet.read(fleet.upstreams.getValue(engine).listening, path))

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        const val DECODES = 4
        const val ENGINE_NAME = "decode-1"
        const val ADAPTER = "museum-tone"
        const val CELL = "cell/${TestFleets.MODEL}/0"
        const val LONG_ANSWER = 200
        const val ROUNDS = 2
        const val ORDERS_PER_EPOCH = 1L shl 20

        // A new owner waits 10.1 s before it drains, and the requests end before the order.
        const val ORDER_SECONDS = 40.0
        const val LOAD_SECONDS = 60.0

        // The owner reads its configuration every 500 ms and decides every 200 ms; its polls fail 2 s after the pause.
        const val DECISION_MILLIS = 1_200L
        const val DECISION_STEP_MILLIS = 200L
        const val AFTER_RESUME_MILLIS = 4_000L
        val ENGINE = listOf("--checks-fence", "false", "--order-load-ms", "1500")
    }
}
