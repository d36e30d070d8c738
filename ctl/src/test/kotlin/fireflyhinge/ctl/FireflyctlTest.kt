package fireflyhinge.ctl

import com.fasterxml.jackson.databind.JsonNode
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import fireflyhinge.Json
import mockwebserver3.MockResponse
import mockwebserver3.MockWebServer
import mockwebserver3.RecordedRequest
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.net.ServerSocket

class FireflyctlTest {
    private val daemon = MockWebServer()
    private val server get() = "127.0.0.1:${daemon.port}"

    @BeforeEach
    fun start() = daemon.start()

    @AfterEach
    fun stop() = daemon.close()

    /** Guards against a command that calls another path, or sends something else, than the admin API has. */
    @Test
    fun commandsSendTheirCalls() {
        data class Case(val line: String, val call: String, val body: String?)
        val cases =
            listOf(
                Case(
                    "template apply t --set rate=5 --set models=a,b",
                    "PUT /admin/v1/templates/t",
                    """{"parameters":{"rate":5,"models":["a","b"]}}""",
                ),
                Case(
                    "workspace create w --template t --set priority=BATCH",
                    "PUT /admin/v1/workspaces/w",
                    """{"template":"t","parameters":{"priority":"BATCH"}}""",
                ),
                Case(
                    "workspace set w --set burst=null",
                    "PATCH /admin/v1/workspaces/w",
                    """{"parameters":{"burst":null}}"""
                ),
                Case("workspace delete w", "DELETE /admin/v1/workspaces/w", null),
                Case("key revoke w --key k", "DELETE /admin/v1/workspaces/w/keys/${Keys.hash("k")}", null),
                Case("route apply r --set kind=MODEL", "PUT /admin/v1/routes/r", """{"kind":"MODEL"}"""),
                Case("upstream drain u", "POST /admin/v1/upstreams/u/drain?leaving=true", null),
                Case(
                    "upstream set u --role prefill --models a --model-version 1.1 --clear adapters --expect-version=7",
                    "PATCH /admin/v1/upstreams/u?expected_version=7",
                    """{"role":"PREFILL","models":["a"],"modelVersion":"1.1","adapters":null}""",
                ),
                Case("upstream set u --models=", "PATCH /admin/v1/upstreams/u", """{"models":[]}"""),
                Case("vm drain v --undo", "POST /admin/v1/vms/v/drain?draining=false", null),
                Case("vm fence v", "POST /admin/v1/vms/v/fence?force=false", null),
            )
        cases.forEach { case ->
            answer("""{"object":"x/y","version":3}""")
            assertEquals(0, run(case.line).statusCode, case.line)
            val request = daemon.takeRequest()
            val id = request.url.queryParameter("change_id")
            assertNotNull(id, case.line)
            assertEquals(case.call, call(request).replace(Regex("[?&]change_id=$id"), ""), case.line)
            assertEquals("Bearer secret", request.headers["Authorization"])
            case.body?.let { assertEquals(Json.mapper.readTree(it), body(request), case.line) }
        }
    }

    /** Guards against scripts that take a refusal, a conflict or an unknown outcome for something else. */
    @Test
    fun exitCodesFollowTheResult() {
        val cases =
            mapOf("FH-7003" to 1, "FH-2006" to 1, "FH-7002" to 3, "FH-7001" to 4, "FH-7008" to 4, "FH-7007" to 5)
        cases.forEach { (code, exit) ->
            answer("""{"error":{"code":"$code","message":"why"}}""", status = 400)
            val result = run("upstream drain u")
            assertEquals(exit, result.statusCode, code)
            assertTrue("$code why" in result.stderr, result.stderr)
        }
        val absent = listOf("workspace create w", "upstream set u", "key revoke w")
        val usage = absent + listOf("nonsense", "upstream drain u --wait=3", "--x")
        usage.forEach { assertEquals(EXIT_USAGE, execute("--server $server --token secret $it".split(' ')), it) }
        assertEquals(EXIT_USAGE, execute(listOf("--token", "secret", "status")), "no server")
        assertEquals(0, execute(listOf("--help")))
    }

    /** Guards against a change that is given up while another daemon can take it. */
    @Test
    fun nextServerIsTriedWithTheSameChangeId() {
        answer("""{"object":"x/y","version":3}""")
        val closed = "127.0.0.1:${ServerSocket(0).use { it.localPort }}"
        assertEquals(
            0,
            fireflyctl().test("--server $closed --server $server --token secret upstream drain u").statusCode
        )
        assertEquals(EXIT_UNREACHABLE, fireflyctl().test("--server $closed --token secret status").statusCode)
    }

    /** Guards against --wait that ends before every VM holds the version, or never ends. */
    @Test
    fun waitAsksUntilEveryVmHoldsTheVersion() {
        answer("""{"object":"upstreams/u","version":3}""")
        answer("""{"complete":false,"vms":[{"vm":"a","state":"LIVE","version":2,"digest":"d"}]}""")
        answer("""{"complete":true,"vms":[{"vm":"a","state":"LIVE","version":3,"digest":"d"}]}""")
        assertEquals(0, run("upstream drain u --wait").statusCode)
        daemon.takeRequest()
        assertEquals("GET /admin/v1/versions?object=upstreams%2Fu&version=3", call(daemon.takeRequest()))
        answer("""{"object":"upstreams/u","version":3}""")
        answer("""{"complete":false,"vms":[{"vm":"slow","state":"UNRESPONSIVE","version":2,"digest":"d"}]}""")
        val late = run("--wait-ms 0 upstream drain u --wait")
        assertEquals(EXIT_WAIT, late.statusCode)
        assertTrue("slow (UNRESPONSIVE)" in late.stderr, late.stderr)
    }

    /** Guards against a status that leaves out the state, the progress or the last refusal of an engine. */
    @Test
    fun upstreamStatusShowsStateAndProgress() {
        val desired = """{"role":"DECODE","models":["b"],"adapters":null,"modelVersion":null}"""
        val progress =
            """{"phase":"ORDERED","reported":{"role":"DECODE","models":["a"]},"owner":"vm-2","token":77,""" +
                """"order":"load_model b","lastRefusal":"load_model b: no memory","refusalAgeMillis":5}"""
        val text = """[{"name":"u","version":3,"desired":$desired,"progress":$progress}]"""
        answer(text)
        val shown = run("upstream status u").stdout
        assertEquals("GET /admin/v1/orders?upstream=u", call(daemon.takeRequest()))
        val parts =
            listOf("ORDERED", "models=[b]", "models=[a]", "load_model b (token 77)", "no memory (5 ms ago)", "vm-2")
        parts.forEach { assertTrue(it in shown, "$it is absent from $shown") }
        answer("""[{"name":"u","version":3,"desired":$desired,"progress":null}]""")
        assertTrue("NO_OWNER" in run("upstream status").stdout)
        answer(text)
        assertEquals(Json.mapper.readTree(text), Json.mapper.readTree(run("--json upstream status").stdout))
    }

    /** Guards against a key that travels to the daemon, or that is not shown to the operator. */
    @Test
    fun onlyTheHashOfANewKeyIsSent() {
        answer("""{"hash":"h","change":{"object":"workspaces/w","version":2}}""")
        val result = run("--json key grant w")
        val key = Json.mapper.readTree(result.stdout).path("key").asText()
        val sent = daemon.takeRequest()
        assertTrue(key.startsWith("fh_") && key.length > 40, key)
        assertEquals(Keys.hash(key), body(sent).path("hash").asText())
        assertFalse(key in call(sent))
    }

    private fun run(line: String): CliktCommandTestResult = fireflyctl().test("--server $server --token secret $line")

    private fun answer(body: String, status: Int = 200) =
        daemon.enqueue(MockResponse.Builder().code(status).body(body).build())

    private fun call(request: RecordedRequest) = "${request.method} ${request.target}"

    private fun body(request: RecordedRequest): JsonNode = Json.mapper.readTree(request.body?.utf8().orEmpty())

    private companion object {
        const val EXIT_USAGE = 2
        const val EXIT_UNREACHABLE = 4
        const val EXIT_WAIT = 6
    }
}
