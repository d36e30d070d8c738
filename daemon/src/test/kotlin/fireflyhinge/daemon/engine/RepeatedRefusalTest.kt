package fireflyhinge.daemon.engine

import fireflyhinge.daemon.fake.RawServer
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.atomic.AtomicInteger

class RepeatedRefusalTest {
    private val http = OutboundHttp()
    private val engines = HttpEngineClient(http)

    @AfterEach
    fun close() = http.close()

    private val calls =
        listOf<Pair<String, (String) -> EngineResult<*>>>(
            "order" to { engines.sendOrder(it, EngineOrder(1, "version", "2")) },
            "import" to { engines.importKv(it, IMPORT, WAIT_MILLIS) },
            "prefill" to { engines.prefill(it, PREFILL, WAIT_MILLIS) },
            "decode" to { engines.decode(it, DecodeRequest(EngineFixture.ID, maxTokens = 2), WAIT_MILLIS) { true } },
        )

    /** Guards against "not run" for a call that an engine got, because it wrote an earlier refusal once more. */
    @TestFactory
    fun aRepeatedRefusalIsNotTakenForThatOfTheNextCall(): List<DynamicTest> =
        calls.flatMap { call ->
            listOf("503 Unavailable", "409 Conflict", "429 Too Many", "404 Not Found").flatMap { status ->
                listOf(true, false).flatMap { named ->
                    listOf("behind the first", "before the next").map { place ->
                        DynamicTest.dynamicTest("${call.first}, $status, named $named, $place") {
                            assertNotRefused(call.second, status, named, early = place == "behind the first")
                        }
                    }
                }
            }
        }

    private fun assertNotRefused(call: (String) -> EngineResult<*>, status: String, named: Boolean, early: Boolean) {
        val received = AtomicInteger()
        var copy = ""
        val server =
            RawServer { request, _, out ->
                val refusal = RawServer.json(request, "{}", status)
                if (received.incrementAndGet() == 1) {
                    copy = if (named) refusal else refusal.replace(RawServer.echo(request), "")
                    out.write((if (early) refusal + copy else refusal).toByteArray())
                } else {
                    if (!early) out.write(copy.toByteArray())
                    out.write(RawServer.json(request, "{}").toByteArray())
                }
                true
            }
        server.use {
            assertInstanceOf(EngineFailure.Refused::class.java, call(it.address).failure())
            assertInstanceOf(EngineFailure.Broken::class.java, call(it.address).failure())
        }
    }

    private companion object {
        const val WAIT_MILLIS = 3_000L
        val PREFILL =
            PrefillRequest(EngineFixture.ID, EngineFixture.HOLDER, "t1", "m", "w1", EngineFixture.MESSAGES)
        val IMPORT =
            ImportRequest(EngineFixture.ID, EngineFixture.HOLDER, "t1", sourceAddress = "a:1", kvHandle = "h")
    }
}
