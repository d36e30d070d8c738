package fireflyhinge.daemon.golden

import fireflyhinge.daemon.fake.FakeConfig
import fireflyhinge.daemon.fake.Fixture
import fireflyhinge.daemon.http.RawHttp
import fireflyhinge.engine.EngineFailure
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.nio.file.Files
import java.nio.file.Path

class GoldenSessionTest {
    private val directory = Path.of(System.getProperty("fireflyhinge.root"), "daemon/src/test/resources/golden")
    private val update = System.getProperty("golden.update") == "true"
    private val order = service("shopfront", "Idempotency-Key: order-1")

    private val cases =
        listOf(
            GoldenCase("streamed", listOf(chat())),
            GoldenCase("whole", listOf(chat(Fixture.chat(stream = false)))),
            GoldenCase("idempotent-call", listOf(service("browse"))),
            GoldenCase("non-idempotent-call-and-repeat", listOf(order, order)),
            GoldenCase("key-revoked-mid-stream", listOf(chat())) { atToken(2) { fixture.config.withdrawKeys() } },
            GoldenCase("decode-broken-mid-stream", listOf(chat())) { fail("decode2", EngineFailure.Broken("reset")) },
            GoldenCase("prefill-refused", listOf(chat())) { fail("prefill", EngineFailure.Refused(429, "full")) },
            GoldenCase("kv-expired", listOf(chat())) { fail("import", EngineFailure.Expired("dropped")) },
            GoldenCase("caller-leaves-mid-stream", listOf(chat()), leavesAfter = "t1 ") {
                atToken(2) { Thread.sleep(DEPARTURE_MILLIS) }
            },
            GoldenCase("store-down", listOf(order)) { fixture.store.down = true },
            GoldenCase("service-closes-after-running", listOf(order, order)) { answer = null },
            GoldenCase("rate-exceeded", listOf(chat())) {
                fixture.quota.refusal = Outcome.Failure(ResultCode.RATE_EXCEEDED, retryAfterMillis = 1500)
            },
            GoldenCase("unknown-key", listOf(chat(key = "unknown"))),
            GoldenCase("malformed-json", listOf(chat("{\"model\":"))),
        )

    /** Guards against a change of what callers, peers, engines, services or the store get that nobody has looked at. */
    @TestFactory
    fun sessionsAreAsRecorded(): List<DynamicTest> = cases.map { DynamicTest.dynamicTest(it.name) { compare(it) } }

    private fun compare(case: GoldenCase) {
        val record = GoldenSession().use { it.run(case) }
        assertFalse(FakeConfig.KEY in record, "the record of ${case.name} contains the caller's key")
        val file = directory.resolve("${case.name}.txt")
        if (update) {
            Files.createDirectories(directory)
            Files.writeString(file, record)
        }
        assertEquals(Files.readString(file), record)
    }

    /** Guards against a key in a file that was written by hand or belongs to a case that is gone. */
    @TestFactory
    fun filesBelongToCasesAndHoldNoKey(): List<DynamicTest> =
        Files.list(directory).use { files -> files.sorted().toList() }.map { file ->
            DynamicTest.dynamicTest("${file.fileName}") {
                assertFalse(FakeConfig.KEY in Files.readString(file), "$file contains the caller's key")
                assertEquals(1, cases.count { "${it.name}.txt" == "${file.fileName}" })
            }
        }

    private fun GoldenSession.atToken(index: Int, action: () -> Unit) {
        fixture.engines.before = { _, i -> if (i == index) action() }
    }

    private fun GoldenSession.fail(step: String, failure: EngineFailure) {
        fixture.engines.faults[step to 1] = failure
    }

    private fun chat(body: String = Fixture.chat(), key: String = FakeConfig.KEY) =
        post("/v1/chat/completions", body, key, "Content-Type: application/json")

    private fun service(route: String, vararg headers: String) =
        post("/services/$route/items?x=1", "one chair", FakeConfig.KEY, "X-Api-Key: ${FakeConfig.KEY}", *headers)

    private fun post(path: String, body: String, key: String, vararg headers: String) =
        RawHttp.post(path, listOf("Authorization: Bearer $key", "Content-Length: ${body.length}") + headers, body)

    private companion object {
        const val DEPARTURE_MILLIS = 20_000L
    }
}
