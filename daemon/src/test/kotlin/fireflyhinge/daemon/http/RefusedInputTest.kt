package fireflyhinge.daemon.http

import fireflyhinge.daemon.fake.FakeConfig
import fireflyhinge.daemon.fake.Fixture
import fireflyhinge.result.ResultCode
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.TestInstance

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RefusedInputTest {
    private val limits = HttpLimits(maxThreads = 20, bodyBytes = 20_000, ioMillis = 700, bodyMillis = 1000)
    private val fixture = Fixture(limits)

    private class Case(val name: String, val code: ResultCode, val request: String)

    @AfterAll
    fun close() = fixture.close()

    /** Guards against faults that get no numbered code, or that reach quota or engines. */
    @TestFactory
    fun eachFaultHasItsCode(): List<DynamicTest> = (protocolCases() + bodyCases() + accessCases()).map(::test)

    private fun test(case: Case) =
        DynamicTest.dynamicTest(case.name) {
            val answer = fixture.socket().use { RawHttp.exchange(it, case.request) }
            assertTrue(answer.startsWith("HTTP/1.1 ${case.code.httpStatus}"), answer)
            assertTrue("\"code\":\"${case.code.label}\"" in answer, answer)
            assertTrue("\"run\":\"${case.code.run.wireName}\"" in answer, answer)
            assertEquals(0, fixture.quota.charges.size + fixture.engines.prefills.size, "charged or sent")
        }

    private fun protocolCases(): List<Case> =
        listOf(
            Case("conflicting lengths", ResultCode.MALFORMED_REQUEST, chat("{}", "Content-Length: 5")),
            Case("header too large", ResultCode.HEADERS_TOO_LARGE, chat("{}", "X: " + "a".repeat(9000))),
            Case("malformed target", ResultCode.MALFORMED_REQUEST, "GET /a|<b HTTP/1.1\r\nHost: h\r\n\r\n"),
            Case("no host", ResultCode.MALFORMED_REQUEST, "GET /v1/models HTTP/1.1\r\n\r\n"),
            Case("no request line", ResultCode.MALFORMED_REQUEST, "\u0001\u0002\u0003 nonsense\r\n\r\n"),
            Case("unknown coding", ResultCode.MALFORMED_REQUEST, raw("Transfer-Encoding: rot13", KEY)),
            Case("malformed chunk", ResultCode.MALFORMED_REQUEST, raw("Transfer-Encoding: chunked", KEY) + "zz\r\n"),
            Case("path traversal", ResultCode.MALFORMED_REQUEST, "GET /../../x HTTP/1.1\r\nHost: h\r\n\r\n"),
            Case("unknown path", ResultCode.NOT_FOUND, RawHttp.post("/v1/nothing", listOf("Content-Length: 0"))),
            Case("wrong method", ResultCode.METHOD_NOT_ALLOWED, "GET $CHAT HTTP/1.1\r\nHost: h\r\n\r\n"),
            Case("body announced, not sent", ResultCode.BODY_TIMEOUT, raw("Content-Length: 10", KEY)),
            Case("announced too large", ResultCode.BODY_TOO_LARGE, raw("Content-Length: 20001", KEY)),
            Case(
                "chunked too large",
                ResultCode.BODY_TOO_LARGE,
                raw("Transfer-Encoding: chunked", KEY) + "5000\r\n" + "a".repeat(0x5000) + "\r\n",
            ),
        )

    private fun bodyCases(): List<Case> =
        listOf("", "{", "[1,2", "{} x", "{\"model\":\"\u0080\u0081\"}", "[".repeat(2000))
            .map { Case("not JSON: ${it.take(12)}", ResultCode.MALFORMED_JSON, chat(it)) } +
            listOf(
                "[]",
                "{}",
                body(model = "7"),
                body(messages = "[]"),
                body(messages = "{}"),
                body(messages = "[7]"),
                body(messages = """[{"role":"admin","content":"x"}]"""),
                body(messages = """[{"content":"x"}]"""),
                body(messages = """[{"role":"user"}]"""),
                body(messages = """[{"role":"user","content":5}]"""),
                body(messages = """[{"role":"user","content":[{"type":"image_url"}]}]"""),
                body(more = ""","max_tokens":0"""),
                body(more = ""","max_tokens":1.5"""),
                body(more = ""","max_tokens":99999999999"""),
                body(more = ""","max_completion_tokens":"5""""),
                body(more = ""","stream":"yes""""),
                body(more = ""","stream_options":[]"""),
                body(more = ""","stream_options":{"include_usage":1}"""),
                body(more = ""","temperature":"hot""""),
                body(more = ""","n":2"""),
            ).map { Case("bad field: $it", ResultCode.INVALID_PARAMETER, chat(it)) }

    private fun accessCases(): List<Case> =
        listOf(
            Case("no key", ResultCode.KEY_ABSENT, raw("Content-Length: 0")),
            Case("other scheme", ResultCode.KEY_ABSENT, raw("Content-Length: 0", "Authorization: Basic eDp5")),
            Case("empty key", ResultCode.KEY_ABSENT, raw("Content-Length: 0", "Authorization: Bearer  ")),
            Case("unknown key", ResultCode.KEY_UNKNOWN, raw("Content-Length: 0", "Authorization: Bearer nope")),
            Case("unknown model", ResultCode.UNKNOWN_MODEL, chat(body(model = "\"none\""))),
            Case("model not allowed", ResultCode.MODEL_NOT_ALLOWED, chat(body(model = "\"other-model\""))),
            Case("no key for list", ResultCode.KEY_ABSENT, "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"),
        )

    private fun raw(vararg headers: String) = RawHttp.post(CHAT, headers.toList())

    private fun chat(body: String, vararg headers: String) =
        RawHttp.post(CHAT, listOf(KEY, "Content-Length: ${body.length}") + headers, body)

    private fun body(
        model: String = "\"curator-model\"",
        messages: String = """[{"role":"user","content":"hello"}]""",
        more: String = "",
    ) = """{"model":$model,"messages":$messages$more}"""

    private companion object {
        const val CHAT = "/v1/chat/completions"
        const val KEY = "Authorization: Bearer ${FakeConfig.KEY}"
    }
}
