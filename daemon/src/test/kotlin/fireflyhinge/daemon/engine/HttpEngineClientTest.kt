package fireflyhinge.daemon.engine

import fireflyhinge.engine.ChatMessage
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineResult
import fireflyhinge.standin.engine.EngineSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.concurrent.thread

class HttpEngineClientTest {
    private val expected = EngineFixture.ANSWER.text(EngineFixture.MAX_TOKENS)

    /** Guards against an answer that differs from the engine's in any byte, and against a slot kept after the end. */
    @Test
    fun fullPathDeliversTheWholeAnswer() {
        EngineFixture().use { f ->
            f.prepare()
            val text = StringBuilder()
            val end = f.decode { text.collect(it) }.value()
            assertEquals(expected, text.toString())
            assertEquals("stop" to 30, end.finishReason to end.tokens)
            assertEquals(emptyList<Any>(), f.decode.held + f.prefill.held)
        }
    }

    /** Guards against crossed and repeated events that get into the answer (P5). */
    @Test
    fun crossedEventsAreDropped() {
        EngineFixture().use { f ->
            f.decode.faults.crossEvents = true
            f.prepare()
            val text = StringBuilder()
            f.decode { text.collect(it) }.value()
            assertEquals(expected, text.toString())
        }
    }

    /** Guards against a resumed answer that repeats or loses tokens, and against resuming with foreign tokens. */
    @Test
    fun resumedDecodeContinuesAtTheNextIndex() {
        val second = EngineFixture.ID.copy(attempt = 2)
        EngineFixture().use { f ->
            f.prepare()
            val sent = ArrayList<String>()
            f.decode { event -> sent.add((event as DecodeEvent.Token).text) && sent.size < 10 }
            f.prepare(id = second, resumed = sent)
            val text = StringBuilder(sent.joinToString(separator = ""))
            f.decode(id = second, firstIndex = 10) { text.collect(it) }.value()
            assertEquals(expected, text.toString())
            val wrong = f.prefill(resumed = listOf("other ")).failure()
            assertEquals(422, (wrong as EngineFailure.Refused).status)
        }
    }

    /** Guards against slots that stay taken after a cancel (P4), and against a cancel that looks like a crash. */
    @Test
    fun cancelFreesTheSlotOfARunningDecode() {
        EngineFixture(change = SLOW_STEPS).use { f ->
            f.prepare()
            val result = f.decode { atFirstToken(it) { f.client.cancel(f.decode.address, EngineFixture.ID).value() } }
            assertEquals(EngineFailure.Cancelled, result.failure())
            awaitTrue("the slot is free") { f.decode.held.isEmpty() }
        }
    }

    /** Guards against taking a closed connection for a free slot: only a cancel frees a decode request (P4). */
    @Test
    fun stoppedDecodeStaysHeldUntilCancelled() {
        EngineFixture().use { f ->
            f.prepare()
            assertEquals(EngineFailure.Cancelled, f.decode { false }.failure())
            Thread.sleep(200)
            val held = f.client.listHeldRequests(f.decode.address).value()
            assertEquals(listOf(EngineFixture.ID), held.map { it.id })
            assertEquals(EngineFixture.HOLDER to "t1", held.single().holder to held.single().ticket)
            f.client.cancel(f.decode.address, EngineFixture.ID).value()
            assertEquals(emptyList<Any>(), f.decode.held)
        }
    }

    /** Guards against a prefill that goes on for a caller that has left (P4). */
    @Test
    fun abandonedPrefillIsFreed() {
        EngineFixture(change = { it.copy(prefillMicrosPerToken = 2_000_000) }).use { f ->
            assertInstanceOf(EngineFailure.Broken::class.java, f.prefill(timeoutMillis = 200).failure())
            awaitTrue("the prefill is freed") { f.prefill.held.isEmpty() }
        }
    }

    /** Guards against a thread that cannot be stopped while an engine works. */
    @Test
    fun interruptEndsEachBlockingCallAsCancelled() {
        EngineFixture(change = { it.copy(decodeStepMicros = 5_000_000) }).use { f ->
            f.prepare()
            val slow = listOf(ChatMessage(role = "user", content = "w ".repeat(300_000)))
            val calls =
                listOf<() -> EngineResult<*>>(
                    { f.prefill(messages = slow) },
                    { f.decode(progressMillis = 4_000) },
                )
            calls.forEach { call ->
                var result: EngineResult<*>? = null
                val caller = thread { result = call() }
                Thread.sleep(200)
                caller.interrupt()
                caller.join(1_000)
                assertEquals(EngineResult.Failed(EngineFailure.Cancelled), result)
            }
        }
    }

    /** Guards against failures of one kind that are reported as another; callers decide on retries by the kind. */
    @Test
    fun eachFailureHasItsKind() {
        val stalled: (EngineFixture) -> EngineResult<*> = { f ->
            f.prefill.faults.stallTransfers = true
            f.import(f.prefill().value(), timeoutMillis = 300)
        }
        val expired: (EngineFixture) -> EngineResult<*> = { _ ->
            EngineFixture(change = SHORT_EXPIRY).use { f ->
                f.prefill().value().let { kv ->
                    Thread.sleep(kv.expiresInMillis + 50)
                    f.import(kv)
                }
            }
        }
        val full: (EngineFixture) -> EngineResult<*> = { f ->
            f.prepare()
            f.import(f.prefill(id = EngineFixture.ID.copy(request = "r2")).value())
        }
        val poisoned: (EngineFixture) -> EngineResult<*> = { f ->
            f.prefill.faults.poison = setOf("stock")
            f.prefill()
        }
        val refused: (EngineFixture) -> EngineResult<*> = { f ->
            f.prefill.faults.refuse = true
            f.prefill()
        }
        val cancelledPrefill: (EngineFixture) -> EngineResult<*> = { f ->
            f.cancelSoon(f.prefill.address)
            f.prefill(messages = listOf(ChatMessage(role = "user", content = "w ".repeat(300_000))))
        }
        val cancelledImport: (EngineFixture) -> EngineResult<*> = { f ->
            f.prefill.faults.stallTransfers = true
            val kv = f.prefill().value()
            f.cancelSoon(f.decode.address)
            f.import(kv, timeoutMillis = 3_000)
        }
        val cases =
            listOf(
                Triple("cancelled prefill", EngineFailure.Cancelled::class.java, cancelledPrefill),
                Triple("cancelled import", EngineFailure.Cancelled::class.java, cancelledImport),
                Triple("stalled transfer", EngineFailure.Broken::class.java, stalled),
                Triple("expired KV cache", EngineFailure.Expired::class.java, expired),
                Triple("slots full", EngineFailure.Refused::class.java, full),
                Triple("crash in prefill", EngineFailure.Broken::class.java, poisoned),
                Triple("refused", EngineFailure.Refused::class.java, refused),
            )
        cases.forEach { (name, kind, act) ->
            EngineFixture(change = { it.copy(slots = 1) }).use { f ->
                assertInstanceOf(kind, act(f).failure(), name)
            }
        }
    }

    /** Guards against "nothing was sent" for a call that was sent, and the reverse (P2). */
    @Test
    fun closedPortIsUnreachableForEveryCall() {
        EngineFixture().use { f ->
            val kv = f.prefill().value()
            f.prefill.close()
            f.decode.close()
            val calls =
                listOf(
                    f.prefill(),
                    f.import(kv),
                    f.decode(),
                    f.client.cancel(f.decode.address, EngineFixture.ID),
                    f.client.readLoad(f.decode.address),
                    f.client.sendOrder(f.decode.address, EngineOrder(fence = 1, action = "version", argument = "2")),
                )
            calls.forEachIndexed { i, result ->
                assertInstanceOf(EngineFailure.Unreachable::class.java, result.failure(), "call $i")
            }
        }
    }

    /** Guards against a crash that is taken for a cancel, and against a restart that leaves no trace. */
    @Test
    fun crashBreaksTheStreamAndChangesTheIncarnation() {
        EngineFixture(change = SLOW_STEPS).use { f ->
            val before = f.client.readLoad(f.decode.address).value().incarnation
            f.prepare()
            val result = f.decode { atFirstToken(it) { f.decode.crash() } }
            assertInstanceOf(EngineFailure.Broken::class.java, result.failure())
            assertNotEquals(before, f.client.readLoad(f.decode.address).value().incarnation)
            assertEquals(emptyList<Any>(), f.decode.held)
        }
    }

    /** Guards against waiting for ever on a silent connection, and against giving up while new ones work (P10). */
    @Test
    fun silenceEndsTheStreamAndNewConnectionsAreUsed() {
        EngineFixture(change = SLOW_STEPS).use { f ->
            f.prepare()
            val start = System.nanoTime()
            val result =
                f.decode(progressMillis = 300) { atFirstToken(it) { f.decode.silenceOpenConnections() } }
            assertInstanceOf(EngineFailure.Broken::class.java, result.failure())
            assertTrue(System.nanoTime() - start < 1_500_000_000, "the progress deadline holds")
            f.client.cancel(f.decode.address, EngineFixture.ID).value()
            assertEquals(emptyList<Any>(), f.decode.held)
        }
    }

    /** Guards against a caller's key that reaches an engine (P6), and against a lost trace context. */
    @Test
    fun engineReceivesTraceContextAndNoOtherCallerHeader() {
        EngineFixture().use { f ->
            f.prepare()
            f.decode().value()
            // The transfer between the engines themselves is no call of this client.
            val ours = (f.prefill.received.list() + f.decode.received.list()).filter { it.method == "POST" }
            assertEquals(listOf("/v1/prefill", "/v1/kv/import", "/v1/decode"), ours.map { it.path })
            ours.forEach { call ->
                assertEquals(EngineFixture.TRACE, call.headers["traceparent"], call.path)
                assertNull(call.headers["authorization"], call.path)
            }
        }
    }

    /** Guards against prefixes shared between workspaces, and against a cache that is never used. */
    @Test
    fun fullBlocksAreCachedWithinTheirScope() {
        EngineFixture().use { f ->
            val long = listOf(ChatMessage(role = "user", content = (1..2_500).joinToString(separator = " ") { "w$it" }))
            val cached = listOf("w1", "w1", "w2").map { f.prefill(messages = long, scope = it).value().cachedTokens }
            assertEquals(listOf(0, 2_000, 0), cached)
        }
    }

    private fun EngineFixture.cancelSoon(address: String) =
        thread {
            while (client.listHeldRequests(address).value().isEmpty()) Thread.sleep(10)
            client.cancel(address, EngineFixture.ID)
        }

    private fun atFirstToken(event: DecodeEvent, action: () -> Unit): Boolean {
        if (event is DecodeEvent.Token && event.index == 0) action()
        return true
    }

    private fun StringBuilder.collect(event: DecodeEvent): Boolean {
        if (event is DecodeEvent.Token) append(event.text)
        return true
    }

    private fun awaitTrue(what: String, condition: () -> Boolean) {
        val end = System.nanoTime() + 2_000_000_000
        while (!condition() && System.nanoTime() < end) Thread.sleep(10)
        assertTrue(condition(), what)
    }

    private companion object {
        /** Steps so slow that a fault at the first token always comes before the end. */
        val SLOW_STEPS = { settings: EngineSettings -> settings.copy(decodeStepMicros = 50_000) }

        /** Expiry that a test can wait for. */
        val SHORT_EXPIRY = { settings: EngineSettings -> settings.copy(kvExpiryMillis = 100) }
    }
}
