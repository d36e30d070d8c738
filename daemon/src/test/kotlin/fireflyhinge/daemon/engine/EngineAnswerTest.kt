package fireflyhinge.daemon.engine

import fireflyhinge.daemon.fake.RawServer
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.daemon.store.HttpStore
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoreResult
import fireflyhinge.store.WriteCondition
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class EngineAnswerTest {
    private val http = OutboundHttp()
    private val engines = HttpEngineClient(http)

    @AfterEach
    fun close() = http.close()

    private class Call(val name: String, val body: String, val succeeds: (address: String) -> Boolean)

    private val calls =
        listOf(
            Call("order", "") { engines.sendOrder(it, EngineOrder(1, "version", "2")) is EngineResult.Ok },
            Call("import", "{}") { engines.importKv(it, IMPORT, WAIT_MILLIS) is EngineResult.Ok },
            Call("prefill", PREFILLED) { engines.prefill(it, PREFILL, WAIT_MILLIS) is EngineResult.Ok },
            Call("cancel", "") { engines.cancel(it, EngineFixture.ID) is EngineResult.Ok },
            Call("load", LOAD) { engines.readLoad(it) is EngineResult.Ok },
            Call("held", "[]") { engines.listHeldRequests(it) is EngineResult.Ok },
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

    private companion object {
        const val WAIT_MILLIS = 3_000L

        /** Two answers of the longest size, as reads are repeated, and the buffers of their sockets. */
        const val TAKEN = 2 * 2 * 32_000_000L + 40_000_000L
        const val PREFILLED =
            """{"id":{"request":"r1","attempt":1},"kvHandle":"h","promptTokens":1,"cachedTokens":0,
               "kvBytes":1,"expiresInMillis":1}"""
        const val LOAD = """{"incarnation":1,"running":0,"queuedPrefillTokens":0,"slots":1}"""
        const val OBJECT = """{"name":{"kind":"workspaces","name":"alpha"},"version":1,"value":"{}"}"""
        val NAME = ObjectName("workspaces", "alpha")
        val PREFILL =
            PrefillRequest(EngineFixture.ID, EngineFixture.HOLDER, "t1", "m", "w1", EngineFixture.MESSAGES)
        val IMPORT =
            ImportRequest(EngineFixture.ID, EngineFixture.HOLDER, "t1", sourceAddress = "a:1", kvHandle = "h")
    }
}
