package fireflyhinge.daemon.caller

import fireflyhinge.daemon.fake.FakeConfig
import fireflyhinge.daemon.fake.Fixture
import fireflyhinge.daemon.http.HttpLimits
import fireflyhinge.daemon.http.RawHttp
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.EngineFailure
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.net.Socket
import java.util.concurrent.CountDownLatch

class CallerConnectionTest {
    private val limits = HttpLimits(maxThreads = 50, ioMillis = 1000)
    private val fixture = Fixture(limits)

    @AfterEach
    fun close() = fixture.close()

    private fun request(stream: Boolean = true): String {
        val body = Fixture.chat(stream)
        val headers = listOf("Authorization: Bearer ${FakeConfig.KEY}", "Content-Length: ${body.length}")
        return RawHttp.post("/v1/chat/completions", headers, body)
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

    private fun assertWithin(millis: Long, what: String, condition: () -> Boolean) {
        val end = System.nanoTime() + millis * 1_000_000
        while (!condition() && System.nanoTime() < end) Thread.sleep(5)
        assertTrue(condition(), "$what within $millis ms")
    }

    /** Guards against queue places, prefills and slots that stay taken after the caller closed its connection. */
    @TestFactory
    fun departureIsDetectedWhileWaiting(): List<DynamicTest> =
        listOf("placement", "prefill", "decode").flatMap { step ->
            listOf("close" to Socket::close, "half close" to Socket::shutdownOutput).map { (kind, leave) ->
                DynamicTest.dynamicTest("$kind during $step") { departure(step, leave) }
            }
        }

    private fun departure(step: String, leave: (Socket) -> Unit) =
        Fixture(limits).use { f ->
            val entered = CountDownLatch(1)
            if (step == "placement") f.placement.waiting = { waitForDeparture(entered, it) }
            val stop = if (step == "prefill") -1 else 1
            f.engines.before = { _, index -> if (index == stop) sleepLong(entered) }
            f.socket().use {
                it.send(request())
                entered.await()
                leave(it)
                if (!it.isClosed) assertTrue("FH-1012" in RawHttp.drain(it))
                assertWithin(500, "settled") { f.quota.settled.size == 1 }
                assertWithin(500, "released") { f.placement.released.size == 1 }
            }
        }

    /** Guards against requests that wait unseen for a thread when all threads are taken. */
    @Test
    fun requestBeyondTheThreadsIsRefused() =
        Fixture(HttpLimits(maxThreads = 10)).use { f ->
            val entered = CountDownLatch(9)
            f.placement.waiting = { waitForDeparture(entered, it) }
            val waiting = List(9) { f.socket().also { it.send(request()) } }
            entered.await()
            val refused = f.socket().use { RawHttp.exchange(it, request()) }
            assertTrue(refused.startsWith("HTTP/1.1 503") && "FH-4001" in refused, refused)
            waiting.forEach { it.close() }
        }

    private fun waitForDeparture(entered: CountDownLatch, abandoned: () -> Boolean) {
        entered.countDown()
        while (!abandoned()) Thread.sleep(10)
    }

    private fun sleepLong(entered: CountDownLatch) {
        entered.countDown()
        Thread.sleep(20_000)
    }

    /** Guards against a caller that pipelines its next request and is taken for gone. */
    @Test
    fun pipelinedRequestIsNoDeparture() {
        fixture.engines.before = { _, index -> if (index == -1) Thread.sleep(400) }
        val first = request().replace("Connection: close\r\n", "")
        val text = fixture.socket().use { RawHttp.exchange(it, first + request()) }
        assertEquals(2, text.split("data: [DONE]").size - 1, text)
    }

    /** Guards against a caller that stops reading and holds its slot forever. */
    @Test
    fun callerThatDoesNotReadIsCut() {
        fixture.engines.script = { id ->
            List(4000) { DecodeEvent.Token(id, it, "x".repeat(10_000)) }
        }
        val body = Fixture.chat().replace("\"max_tokens\":8", "\"max_tokens\":9999")
        val headers = listOf("Authorization: Bearer ${FakeConfig.KEY}", "Content-Length: ${body.length}")
        fixture.socket().use {
            it.send(RawHttp.post("/v1/chat/completions", headers, body))
            assertWithin(limits.ioMillis + 3000L, "released") { fixture.placement.released.size == 1 }
            assertEquals(listOf("d1:1"), fixture.engines.cancels.map { c -> c.first })
        }
    }

    /** Guards against an interrupted answer that looks complete. */
    @Test
    fun interruptedAnswersEndWithAnErrorEvent() {
        (1..3).forEach { fixture.engines.faults["decode1" to it] = EngineFailure.Broken("reset") }
        (1..3).forEach { fixture.engines.faults["decode0" to it + 1] = EngineFailure.Broken("reset") }
        val interrupted = fixture.post("/v1/chat/completions", Fixture.chat()).body()
        assertTrue("\"code\":\"FH-5004\"" in interrupted.trim().lines().last(), interrupted)
        assertFalse("[DONE]" in interrupted)
        fixture.engines.faults.clear()
        fixture.engines.before = { _, index -> if (index == 2) fixture.config.withdrawKeys() }
        val withdrawn = fixture.post("/v1/chat/completions", Fixture.chat()).body()
        assertTrue("\"code\":\"FH-2003\"" in withdrawn.trim().lines().last(), withdrawn)
        assertFalse("[DONE]" in withdrawn)
    }

    /** Guards against a whole answer that is cut short and sent with status 200. */
    @Test
    fun interruptedWholeAnswerIsAnError() {
        (1..3).forEach { fixture.engines.faults["decode1" to it] = EngineFailure.Broken("reset") }
        (1..3).forEach { fixture.engines.faults["decode0" to it + 1] = EngineFailure.Broken("reset") }
        val answer = fixture.post("/v1/chat/completions", Fixture.chat(stream = false))
        assertEquals(502, answer.statusCode())
        assertTrue("FH-5004" in answer.body())
    }
}
