package fireflyhinge.daemon.engine

import fireflyhinge.daemon.fake.RawServer
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.daemon.store.HttpStore
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoreResult
import fireflyhinge.store.WriteCondition
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class EngineAnswerTest {
    private val http = OutboundHttp()
    private val engines = HttpEngineClient(http)

    @AfterEach
    fun close() = http.close()

    private class Call(val name: String, val body: String, val succeeds: (address: String) -> Boolean)

    private val calls =
        listOf(
            Call("order", "") { engines.order(it, EngineOrder(1, "version", "2")) is EngineResult.Ok },
            Call("import", "{}") { engines.importKv(it, IMPORT, WAIT_MILLIS) is EngineResult.Ok },
            Call("prefill", PREFILLED) { engines.prefill(it, PREFILL, WAIT_MILLIS) is EngineResult.Ok },
            Call("cancel", "") { engines.cancel(it, EngineFixture.ID) is EngineResult.Ok },
            Call("load", LOAD) { engines.load(it) is EngineResult.Ok },
            Call("held", "[]") { engines.held(it) is EngineResult.Ok },
            Call("store read", OBJECT) { storeAt(it).get(NAME) is StoreResult.Ok },
            Call("store write", """{"version":7}""") {
                storeAt(it).put(NAME, "{}", WriteCondition.Absent) is StoreResult.Ok
            },
        )

    private fun storeAt(address: String) = HttpStore(address, http, timeoutMillis = WAIT_MILLIS)

    /** Guards against the second answer to one call that is taken for the answer to the next on its connection (P5). */
    @TestFactory
    fun aSecondAnswerIsNotTakenForThatOfTheNextCall(): List<DynamicTest> =
        listOf(true, false).flatMap { atOnce -> calls.map { it to atOnce } }.map { (call, atOnce) ->
            DynamicTest.dynamicTest("${call.name}, ${if (atOnce) "at once" else "late"}") {
                var first = ""
                val server =
                    RawServer { request, count, out ->
                        if (first.isEmpty()) {
                            first = RawServer.json(request, call.body)
                            out.write((if (atOnce) first + first else first).toByteArray())
                        } else {
                            if (count > 1 && !atOnce) out.write(first.toByteArray())
                            out.write(RawServer.json(request, "{}", status = "409 Conflict").toByteArray())
                        }
                        true
                    }
                server.use {
                    assertTrue(call.succeeds(it.address), "the first call")
                    assertFalse(call.succeeds(it.address), "the second call")
                }
            }
        }

    /** Guards against memory that an engine or the store fills with an answer without end. */
    @TestFactory
    fun anAnswerWithoutEndIsGivenUp(): List<DynamicTest> =
        listOf("200 OK", "409 Conflict").flatMap { status ->
            listOf(
                Triple("body", "", "x"),
                Triple("chunk extension", "Transfer-Encoding: chunked\r\n", "2;x="),
            ).flatMap { part -> calls.map { Triple(it, status, part) } }
        }.map { (call, status, part) ->
            DynamicTest.dynamicTest("${call.name}, $status, ${part.first}") {
                lateinit var server: RawServer
                server =
                    RawServer { request, _, out ->
                        val head = "HTTP/1.1 $status\r\n${RawServer.echo(request)}${part.second}\r\n${part.third}"
                        false.also { server.endless(out, head = head, piece = "x") }
                    }
                server.use {
                    assertFalse(call.succeeds(it.address))
                    assertTrue(it.taken.get() < TAKEN, "${it.taken} bytes were taken")
                }
            }
        }

    /** Guards against a decode that foreign events hold for ever. */
    @Test
    fun foreignEventsDoNotExtendTheProgressDeadline() {
        lateinit var server: RawServer
        server =
            RawServer { request, _, out ->
                false.also { server.endless(out, streamHead(request), token("other", 0), most = 5 * RawServer.MOST) }
            }
        server.use {
            val start = System.nanoTime()
            val result = engines.decode(it.address, DECODE, progressMillis = 300) { true }
            assertInstanceOf(EngineFailure.Broken::class.java, result.failure())
            assertTrue(System.nanoTime() - start < 2_000_000_000, "the progress deadline holds")
        }
    }

    /** Guards against memory that a decode replica fills with events behind the end, or without a line end. */
    @TestFactory
    fun bytesWithoutEndInAStreamAreGivenUp(): List<DynamicTest> =
        listOf(
            Triple("behind the end", token(REQUEST, 0) + END, token(REQUEST, 0)),
            Triple("in an event", "data: ", "x"),
            Triple("empty lines", "", "\n"),
            Triple("in the head", null, "X: 1\r\n"),
            Triple("other tokens", "", token(REQUEST, 0)),
        ).map { (name, before, piece) ->
            DynamicTest.dynamicTest(name) {
                lateinit var server: RawServer
                server =
                    RawServer { request, _, out ->
                        val head = if (before == null) "HTTP/1.1 200 OK\r\n" else streamHead(request) + before
                        false.also { server.endless(out, head = head, piece = piece) }
                    }
                server.use {
                    val result = engines.decode(it.address, DECODE, progressMillis = 1_000) { true }
                    assertEquals(END in before.orEmpty(), result is EngineResult.Ok, "$result")
                    Thread.sleep(SETTLE_MILLIS)
                    assertTrue(it.taken.get() < TAKEN, "${it.taken} bytes were taken")
                }
            }
        }

    private companion object {
        const val REQUEST = "r1"
        const val WAIT_MILLIS = 3_000L
        const val SETTLE_MILLIS = 2_000L

        /** The limit of an answer, twice because of a repeat, and more than the buffers of the sockets. */
        const val TAKEN = 80_000_000L
        const val PREFILLED =
            """{"id":{"request":"r1","attempt":1},"kvHandle":"h","promptTokens":1,"cachedTokens":0,
               "kvBytes":1,"expiresInMillis":1}"""
        const val LOAD = """{"incarnation":1,"running":0,"queuedPrefillTokens":0,"slots":1}"""
        const val OBJECT = """{"name":{"kind":"workspaces","name":"alpha"},"version":1,"value":"{}"}"""
        const val END =
            "event: end\ndata: {\"id\":{\"request\":\"r1\",\"attempt\":1},\"finishReason\":\"stop\",\"tokens\":1}\n\n"
        val NAME = ObjectName("workspaces", "alpha")
        val DECODE = DecodeRequest(EngineRequestId(REQUEST, attempt = 1), maxTokens = 100)
        val PREFILL =
            PrefillRequest(DECODE.id, EngineFixture.HOLDER, "t1", "m", "w1", EngineFixture.MESSAGES, emptyList())
        val IMPORT = ImportRequest(DECODE.id, EngineFixture.HOLDER, "t1", sourceAddress = "a:1", kvHandle = "h")

        fun token(request: String, index: Int) =
            "event: token\ndata: {\"id\":{\"request\":\"$request\",\"attempt\":1},\"index\":$index,\"text\":\"a \"}\n\n"

        fun streamHead(request: String) =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${RawServer.echo(request)}\r\n"
    }
}
