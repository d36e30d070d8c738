package fireflyhinge.daemon.service

import fireflyhinge.daemon.fake.FakeConfig
import fireflyhinge.daemon.fake.Fixture
import fireflyhinge.daemon.fake.TestUpstream
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class ServiceCallTest {
    private val fixture = Fixture()
    private val upstream = TestUpstream()
    private val other = TestUpstream()
    private val key = FakeConfig.KEY

    @AfterEach
    fun close() = listOf(fixture, upstream, other).forEach { it.close() }

    private fun code(body: String) = Regex("FH-\\d+").find(body)?.value

    /** Guards against a key that reaches an upstream, and against headers that belong to one connection only. */
    @Test
    fun upstreamSeesTheCallWithoutTheKey() {
        fixture.config.shopAt(upstream.address)
        val answer =
            fixture.post(
                "/services/browse/a%2Fb/c?q=%20x",
                "body",
                *arrayOf("X-Api-Key", key, "Cookie", "session=$key", "X-Encoded", "key%2dof-blurbs", "X-Keep", "1"),
                *arrayOf("Cookie2", "lang=de", "TE", "trailers", "traceparent", TRACE),
            )
        assertEquals(200 to "sold", answer.statusCode() to answer.body())
        assertEquals("7", answer.headers().firstValue("X-Part").get())
        val request = upstream.requests.single()
        assertTrue(request.startsWith("POST /a%2Fb/c?q=%20x HTTP/1.1\r\n") && request.endsWith("\r\n\r\nbody"), request)
        assertFalse(key in request || "x-encoded" in request || "te:" in request, request)
        assertTrue("x-keep: 1" in request && "lang=de" in request, request)
        assertTrue("traceparent: ${TRACE.take(35)}" in request, request)
    }

    /** Guards against calls that are refused with the wrong code, or sent although they are refused. */
    @TestFactory
    fun refusedCallsAreNotSent(): List<DynamicTest> =
        listOf(
            Refused("FH-1002", "/services/browse/$key"),
            Refused("FH-1002", "/services/browse/x?k=key%2Dof-blurbs"),
            Refused("FH-1002", "/services/browse/x", body = "a $key b"),
            Refused("FH-1002", "/services/browse/%2e%2e/x"),
            Refused("FH-1002", "/services/shopfront/x", headers = listOf("Idempotency-Key", "a b")),
            Refused("FH-1002", "/services/shopfront/x", headers = listOf("Idempotency-Key", "k".repeat(256))),
            Refused("FH-1009", "/services/shopfront/x"),
            Refused("FH-1007", "/services/nothing/x"),
            Refused("FH-1007", "/services/curator-model/x"),
            Refused("FH-2004", "/services/private/x"),
            Refused("FH-2001", "/services/browse/x", authorization = emptyList()),
            Refused("FH-2002", "/services/lobby/x", authorization = listOf("Authorization", "Bearer wrong")),
        ).map { case ->
            DynamicTest.dynamicTest("$case") {
                fixture.config.shopAt(upstream.address)
                val answer = fixture.send(case.path, "POST", case.body, case.authorization + case.headers)
                assertEquals(case.code, code(answer.body()))
                assertEquals(0, upstream.requests.size + fixture.quota.charges.size)
            }
        }

    private data class Refused(
        val code: String,
        val path: String,
        val body: String = "x",
        val headers: List<String> = emptyList(),
        val authorization: List<String> = listOf("Authorization", "Bearer ${FakeConfig.KEY}"),
    )

    /** Guards against authenticated work on a VM that may have missed a withdrawal; open routes need no key. */
    @Test
    fun isolatedVmServesOpenRoutesOnly() {
        fixture.config.shopAt(upstream.address)
        fixture.membership.isolated = true
        assertEquals("FH-2005", code(fixture.post("/services/browse/x", "").body()))
        assertEquals(200, fixture.send("/services/lobby/x", "GET", "", emptyList()).statusCode())
        assertEquals(0, fixture.quota.charges.size)
    }

    /** Guards against errors that another replica could have avoided, for calls that may run twice. */
    @Test
    fun idempotentCallIsTriedOnAnotherReplica() {
        fixture.config.shopAt(upstream.address, other.address)
        upstream.respond = { null }
        // The random choice decides which replica comes first; ten calls use the broken one with near certainty.
        val answers = List(3) { fixture.post("/services/browse/x", "").statusCode() }
        assertEquals(listOf(200, 200, 200), answers)
    }

    /** Guards against "not run" for an idempotent call that no replica answered. */
    @Test
    fun idempotentCallWithoutAnAnswerIsUnknown() {
        fixture.config.shopAt(upstream.address)
        upstream.respond = { null }
        val lost = fixture.post("/services/browse/x", "").body()
        assertTrue("FH-5006" in lost && "\"run\":\"unknown\"" in lost, lost)
        upstream.respond = { "".also { Thread.sleep(1500) } }
        assertEquals("FH-5005", code(fixture.post("/services/browse/x", "").body()))
    }

    /** Guards against a second run of a call without a key when another replica could be asked. */
    @Test
    fun callWithoutAKeyIsSentOnce() {
        fixture.config.shopAt(upstream.address, other.address)
        listOf(upstream, other).forEach { it.respond = { null } }
        assertEquals("FH-6001", code(fixture.post("/services/optional/x", "").body()))
        assertEquals(1, upstream.requests.size + other.requests.size)
    }

    /** Guards against work for replicas that are leaving, and against a hanging call when none is left. */
    @Test
    fun leavingReplicasGetNoCalls() {
        fixture.config.shopAt(upstream.address, leaving = true)
        assertEquals("FH-4003", code(fixture.post("/services/browse/x", "").body()))
        assertEquals(0, upstream.requests.size)
    }

    private companion object {
        const val TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    }
}
