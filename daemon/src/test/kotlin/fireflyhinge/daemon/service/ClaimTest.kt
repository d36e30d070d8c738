package fireflyhinge.daemon.service

import fireflyhinge.Json
import fireflyhinge.daemon.fake.FakeConfig
import fireflyhinge.daemon.fake.FakeStore
import fireflyhinge.daemon.fake.FakeStore.Fault
import fireflyhinge.daemon.fake.Fixture
import fireflyhinge.daemon.fake.TestUpstream
import fireflyhinge.idempotency.Claim
import fireflyhinge.idempotency.ClaimState
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.WriteCondition
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture

class ClaimTest {
    private val store = FakeStore()
    private val first = Fixture(store = store, vm = "vm-1")
    private val second = Fixture(store = store, vm = "vm-2")
    private val upstream = TestUpstream()

    @BeforeEach
    fun route() = listOf(first, second).forEach { it.config.shopAt(upstream.address) }

    @AfterEach
    fun close() = listOf(first, second, upstream).forEach { it.close() }

    private fun Fixture.order(key: String = "order-1", body: String = "one chair") =
        post("/services/shopfront/orders?x=1", body, "Idempotency-Key", key)

    private fun assertCode(answer: HttpResponse<String>, code: String, run: String) =
        assertTrue("\"code\":\"$code\"" in answer.body() && "\"run\":\"$run\"" in answer.body(), answer.body())

    private fun claims() = store.objects.values.map { Json.decode<Claim>(it.value) }

    private fun waitFor(state: ClaimState) {
        val end = System.nanoTime() + 3_000_000_000
        while (claims().none { it.state == state } && System.nanoTime() < end) Thread.sleep(10)
        assertEquals(listOf(state), claims().map { it.state })
    }

    /** Guards against an order that is placed twice when its caller repeats it, also through another VM. */
    @Test
    fun repeatIsAnsweredFromTheStore() {
        assertEquals(200 to "sold", first.order().let { it.statusCode() to it.body() })
        val repeat = second.order()
        assertEquals(200 to "sold", repeat.statusCode() to repeat.body())
        assertEquals("true", repeat.headers().firstValue("Idempotency-Replayed").get())
        assertEquals("text/plain", repeat.headers().firstValue("Content-Type").get())
        assertEquals(1, upstream.requests.size)
        assertEquals(listOf(0.0), first.quota.settled.map { it.second })
        assertEquals(listOf(5.0), second.quota.settled.map { it.second })
        assertCode(second.order(body = "two chairs"), "FH-6002", "not_run")
    }

    /** Guards against a call that is refused, or sent without a claim, when one store call of it fails. */
    @TestFactory
    fun oneStoreFaultIsInvisible(): List<DynamicTest> =
        listOf(
            listOf(Fault.REPLY_LOST),
            listOf(Fault.REQUEST_LOST),
            listOf(Fault.REPLY_LOST, Fault.REPLY_LOST),
            listOf(Fault.DOWN),
            listOf(Fault.NONE, Fault.REPLY_LOST),
            listOf(Fault.NONE, Fault.REQUEST_LOST),
            listOf(Fault.NONE, Fault.DOWN),
        ).mapIndexed { i, faults ->
            DynamicTest.dynamicTest("$faults") {
                store.faults.addAll(faults)
                val before = upstream.requests.size
                assertEquals(200, first.order("order-$i").statusCode())
                assertEquals(200, second.order("order-$i").statusCode())
                assertEquals(1, upstream.requests.size - before)
            }
        }

    /** Guards against a second run of a call whose daemon died after it claimed the call. */
    @Test
    fun claimOfADeadDaemonIsOutcomeUnknown() {
        first.order()
        val (name, done) = store.objects.entries.single()
        val open = Json.decode<Claim>(done.value).copy(state = ClaimState.CLAIMED, answer = null)
        store.put(name, Json.encode(open), WriteCondition.AtVersion(done.version))
        assertCode(second.order(), "FH-6001", "unknown")
        assertCode(second.order(body = "other"), "FH-6002", "not_run")
        // The store fails while the repeat waits: the earlier attempt may still have run.
        store.faults.add(Fault.NONE)
        store.down = true
        assertCode(second.order(), "FH-6001", "unknown")
        assertEquals(1, upstream.requests.size)
    }

    /** Guards against a repeat of a call that ran and is told "not run" because the quota refuses its charge. */
    @Test
    fun refusedChargeOfARepeatDoesNotDenyTheEarlierRun() {
        second.quota.refusal = Outcome.Failure(ResultCode.QUOTA_UNAVAILABLE)
        assertCode(second.order(), "FH-3003", "not_run")
        first.order()
        assertEquals(200 to "sold", second.order().let { it.statusCode() to it.body() })
        val (name, done) = store.objects.entries.single()
        val open = Json.decode<Claim>(done.value).copy(state = ClaimState.CLAIMED, answer = null)
        store.put(name, Json.encode(open), WriteCondition.AtVersion(done.version))
        assertCode(second.order(), "FH-6001", "unknown")
        assertEquals(1, upstream.requests.size)
    }

    /** Guards against a call that is sent although no claim protects it. */
    @Test
    fun storeOutageRefusesTheCall() {
        store.down = true
        assertCode(first.order(), "FH-7001", "not_run")
        assertEquals(0, upstream.requests.size)
        assertEquals(listOf(5.0), first.quota.settled.map { it.second })
        store.down = false
        assertEquals(200, second.order().statusCode())
    }

    /** Guards against a key that is blocked for a day by a claim under which nothing was sent. */
    @Test
    fun unusedClaimIsGivenBackAfterTheOutage() {
        store.faults.add(Fault.REPLY_LOST)
        store.down = true
        store.faults.addAll(List(5) { Fault.REQUEST_LOST })
        assertCode(first.order(), "FH-7001", "not_run")
        store.down = false
        waitFor(ClaimState.NOT_RUN)
        assertEquals(200, second.order().statusCode())
        assertEquals(1, upstream.requests.size)
    }

    /** Guards against an answered call whose repeat is told "outcome unknown" because the store was down at its end. */
    @Test
    fun answerIsStoredAfterTheOutage() {
        upstream.respond = { TestUpstream.ok("sold").also { store.down = true } }
        assertEquals(200, first.order().statusCode())
        store.down = false
        waitFor(ClaimState.DONE)
        assertEquals("sold", second.order().body())
        assertEquals(1, upstream.requests.size)
    }

    /** Guards against a call that is called "unknown" although no byte was sent, and against a key that stays taken. */
    @Test
    fun refusedConnectionIsNotRunAndFreesTheKey() {
        first.config.shopAt(TestUpstream.refusedAddress())
        assertCode(first.order(), "FH-5003", "not_run")
        assertEquals(listOf(ClaimState.NOT_RUN), claims().map { it.state })
        assertEquals(200, second.order(body = "changed").statusCode())
        assertEquals(listOf(5.0), first.quota.settled.map { it.second })
    }

    /** Guards against a repeat of a call that ran although its answer was lost. */
    @TestFactory
    fun lostAnswerIsNeverSentAgain(): List<DynamicTest> =
        mapOf<String, (String) -> String?>(
            "closed after running" to { null },
            "silent after running" to { "".also { Thread.sleep(1500) } },
            "cut inside the answer" to { TestUpstream.ok("sold").dropLast(2) },
        ).map { (name, respond) ->
            DynamicTest.dynamicTest(name) {
                val before = upstream.requests.size
                upstream.respond = respond
                assertCode(first.order(name.replace(' ', '-')), "FH-6001", "unknown")
                assertCode(second.order(name.replace(' ', '-')), "FH-6001", "unknown")
                assertEquals(1, upstream.requests.size - before)
            }
        }

    /** Guards against a client library that repeats a call by itself. */
    @Test
    fun answersThatInviteARepeatArePassedOn() {
        listOf("503 Unavailable" to "Retry-After: 0", "408 Timeout" to "X-A: 1", "307 Moved" to "Location: /y")
            .forEachIndexed { i, (status, header) ->
                upstream.respond = { TestUpstream.ok("no", status, header) }
                val answer = first.order("order-$i")
                assertEquals(status.take(3).toInt(), answer.statusCode())
                val (name, value) = header.split(": ")
                assertEquals(value, answer.headers().firstValue(name).get())
                assertEquals(i + 1, upstream.requests.size)
            }
    }

    /** Guards against keys of two workspaces, or two routes, that meet. */
    @Test
    fun equalKeysOfTwoWorkspacesAreTwoCalls() {
        assertEquals(200, first.order().statusCode())
        val headers = listOf("Authorization", "Bearer ${FakeConfig.OTHER_KEY}", "Idempotency-Key", "order-1")
        assertEquals(200, first.send("/services/shopfront/orders", "POST", "other", headers).statusCode())
        assertEquals(200, first.post("/services/optional/orders", "x", "Idempotency-Key", "order-1").statusCode())
        assertEquals(3, upstream.requests.size)
    }

    /** Guards against two VMs that send the same call at the same time. */
    @Test
    fun simultaneousRepeatsRunOnce() {
        upstream.respond = { TestUpstream.ok("sold").also { Thread.sleep(200) } }
        val calls = List(12) { i -> CompletableFuture.supplyAsync { listOf(first, second)[i % 2].order() } }
        assertEquals(setOf("sold"), calls.map { it.get().body() }.toSet())
        assertEquals(1, upstream.requests.size)
    }

    /** Guards against a replayed answer that is cut to what the store can keep. */
    @Test
    fun largeAnswerIsNotReplayedInPart() {
        upstream.respond = { TestUpstream.ok("x".repeat(100_000)) }
        assertEquals(100_000, first.order().body().length)
        assertCode(second.order(), "FH-6004", "ran")
        assertEquals(1, upstream.requests.size)
    }
}
