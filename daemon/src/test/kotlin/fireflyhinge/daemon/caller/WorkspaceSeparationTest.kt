package fireflyhinge.daemon.caller

import fireflyhinge.daemon.fake.FakeConfig
import fireflyhinge.daemon.fake.Fixture
import fireflyhinge.daemon.fake.TestUpstream
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.net.http.HttpResponse

class WorkspaceSeparationTest {
    private val fixture = Fixture()
    private val upstream = TestUpstream()

    /** Two workspaces without a common model or service; each idempotency key below is used by both. */
    init {
        fixture.config.shopAt(upstream.address)
        val own = FakeConfig.workspace("blurbs", listOf(FakeConfig.KEY), setOf("curator-model", "shopfront"))
        val other = FakeConfig.workspace("replies", listOf(FakeConfig.OTHER_KEY), setOf("other-model", "optional"))
        fixture.config.update { it.copy(workspaces = listOf(own, other).associateBy { w -> w.name }) }
    }

    @AfterEach
    fun close() = listOf(fixture, upstream).forEach { it.close() }

    private fun send(key: String, path: String, body: String, vararg headers: String): HttpResponse<String> =
        fixture.send(path, "POST", body, listOf("Authorization", "Bearer $key") + headers)

    /** Guards against a key that reaches models or services of another workspace, whatever else the caller sends. */
    @TestFactory
    fun aKeyReachesOnlyItsOwnRoutes(): List<DynamicTest> {
        val claims = arrayOf("X-Workspace", "replies", "Idempotency-Key", "k", "Cookie", "workspace=replies")
        return listOf(
            "/v1/chat/completions" to Fixture.chat().replace("curator-model", "other-model"),
            "/v1/chat/completions?workspace=replies" to Fixture.chat(stream = false).replace("curator", "other"),
            "/services/optional/orders" to """{"workspace":"replies"}""",
        ).map { (path, body) ->
            DynamicTest.dynamicTest(path) {
                val answer = send(FakeConfig.KEY, path, body, *claims)
                assertEquals(403, answer.statusCode(), answer.body())
                assertTrue("FH-2004" in answer.body() && "\"not_run\"" in answer.body(), answer.body())
                assertEquals(0, fixture.quota.charges.size + fixture.engines.prefills.size + upstream.requests.size)
                assertEquals(0, fixture.store.objects.size)
            }
        }
    }

    /** Guards against a list of models that names those of other workspaces. */
    @Test
    fun eachWorkspaceSeesItsOwnModels() {
        val seen =
            listOf(FakeConfig.KEY, FakeConfig.OTHER_KEY).map { key ->
                val body = fixture.send("/v1/models", "GET", "", listOf("Authorization", "Bearer $key")).body()
                Regex("\"id\":\"([^\"]+)\"").findAll(body).map { it.groupValues[1] }.toList()
            }
        assertEquals(listOf(listOf("curator-model"), listOf("other-model")), seen)
    }

    /** Guards against equal prompts of two workspaces that share cached prefixes, a bucket or a crash record. */
    @Test
    fun equalPromptsShareNothing() {
        val both = setOf("curator-model")
        fixture.config.update { it.copy(workspaces = it.workspaces.mapValues { (_, w) -> w.copy(models = both) }) }
        val prompt = Fixture.chat().replace("one two three", (1..1200).joinToString(" "))
        listOf(FakeConfig.KEY, FakeConfig.OTHER_KEY).forEach { key ->
            assertEquals(200, send(key, "/v1/chat/completions", prompt).statusCode())
        }
        val names = listOf("blurbs", "replies")
        assertEquals(names, fixture.engines.prefills.map { it.cacheScope })
        assertEquals(names, fixture.quota.charges.map { it.workspace })
        assertEquals(names, fixture.placement.placed.map { it.workspace })
        assertEquals(2, fixture.quota.charges.map { it.fingerprint }.toSet().size)
        assertEquals(2, fixture.placement.placed.map { it.prefixHashes }.toSet().size)
    }

    /** Guards against a stored answer that is given to another workspace, and against a claim that blocks its call. */
    @Test
    fun storedAnswersStayInTheirWorkspace() {
        val both = setOf("shopfront")
        fixture.config.update { it.copy(workspaces = it.workspaces.mapValues { (_, w) -> w.copy(models = both) }) }
        fun order(key: String) = send(key, "/services/shopfront/orders", "one chair", "Idempotency-Key", "order-1")
        upstream.respond = { TestUpstream.ok("receipt ${upstream.requests.size}") }
        val answers = List(2) { listOf(FakeConfig.KEY, FakeConfig.OTHER_KEY).map { order(it).body() } }
        assertEquals(List(2) { listOf("receipt 1", "receipt 2") }, answers)
        assertEquals(2, upstream.requests.size)
        val owners = fixture.store.objects.keys.map { it.name.substringBefore('/') }
        assertEquals(listOf("blurbs", "replies"), owners.sorted())
    }
}
