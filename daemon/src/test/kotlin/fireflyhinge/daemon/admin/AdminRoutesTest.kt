package fireflyhinge.daemon.admin

import fireflyhinge.daemon.MemoryFleet
import fireflyhinge.daemon.TestHost
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class AdminRoutesTest {
    private val http = OkHttpClient()

    private data class Case(val call: String, val body: String, val status: Int, val contains: String)

    /** Guards against a route that is absent, open without the token, or answers with another code or status. */
    @Test
    fun routesAnswer() =
        MemoryFleet(size = 3).use { fleet ->
            fleet.start()
            val node = fleet.nodes.first()
            val api = AdminApi(fleet.store, node.config, node.gossip, fleet.transport, node.gossip.reports::setDraining)
            while (node.gossip.members().size < 3 || !node.config.ready()) Thread.sleep(10)
            TestHost(AdminRoutes(api, OperatorAuth(listOf("secret")))::register).use { host ->
                cases.forEach { case ->
                    val (status, text) = call(host, case, token = "secret")
                    assertEquals(case.status, status, "$case answered $text")
                    assertTrue(case.contains in text, "$case answered $text")
                    assertEquals(401, call(host, case, token = "other").first, "$case")
                }
            }
        }

    private val upstream =
        """{"service":"s","role":"DECODE","address":"10.0.0.1:80","region":"Kaltēšana","failureDomain":"d"}"""

    private val cases =
        listOf(
            Case("PUT /templates/t", """{"parameters":{"rate":50}}""", 200, """"object":"templates/t""""),
            Case("PUT /templates/t?expected_version=77", "{}", 409, "FH-7002"),
            Case("PUT /templates/t?expected_version=x", "{}", 400, "FH-1002"),
            Case("PUT /templates/t", "x".repeat(1_100_000), 413, "FH-7004"),
            Case("PUT /templates/t", "{", 400, "FH-1001"),
            Case("PUT /workspaces/w?change_id=c1", """{"template":"t"}""", 200, """"change_id":"c1""""),
            Case("PATCH /workspaces/w", """{"parameters":{"tint":1}}""", 422, "FH-7006"),
            Case("PATCH /workspaces/w", """{"parameters":{"rate":60}}""", 200, "workspaces/w"),
            Case("GET /workspaces", "", 200, """"rate":60"""),
            Case("POST /workspaces/w/keys", "", 200, """"key":"fh_"""),
            Case("DELETE /workspaces/w/keys/abc", "", 404, "FH-7005"),
            Case("PUT /routes/m", """{"kind":"MODEL","service":"s"}""", 200, "routes/m"),
            Case("PUT /upstreams/u", upstream, 422, "not 'Kaltēšana'"),
            Case("PUT /upstreams/u", upstream.replace("Kaltēšana", "r"), 200, "upstreams/u"),
            Case("POST /upstreams/u/drain?leaving=true", "", 200, "upstreams/u"),
            Case("GET /upstreams", "", 200, """"leaving":true"""),
            Case("PATCH /upstreams/u", """{"models":["a"],"modelVersion":"2"}""", 200, "upstreams/u"),
            Case("PATCH /upstreams/u?expected_version=1", """{"models":["b"]}""", 409, "FH-7002"),
            Case("PATCH /upstreams/u", """{"address":"10.0.0.2:80"}""", 422, "not part of the desired state"),
            Case("PATCH /upstreams/u", """{"role":null}""", 422, "FH-7003"),
            Case("PATCH /upstreams/u", """{"models":["a","a"]}""", 422, "FH-7003"),
            Case("PATCH /upstreams/none", """{"models":[]}""", 404, "FH-7005"),
            Case("GET /orders?upstream=u", "", 200, """"desired":{"role":"DECODE","models":["a"],"adapters":null"""),
            Case("GET /orders?upstream=none", "", 404, "FH-7005"),
            Case("DELETE /routes/m", "", 200, "routes/m"),
            Case("DELETE /workspaces/w", "", 200, "workspaces/w"),
            Case("POST /vms/vm0/drain?draining=true", "", 200, "accepted"),
            Case("POST /vms/none/drain", "", 404, "FH-7005"),
            Case("POST /vms/vm1/fence", "", 422, "FH-7003"),
            Case("POST /vms/vm1/fence?force=true", "", 200, "fences/vm1"),
            Case("GET /versions?object=templates/t&version=1", "", 200, """"vm":"vm2""""),
            Case("GET /status", "", 200, """"state":"DRAINING""""),
        )

    private fun call(host: TestHost, case: Case, token: String): Pair<Int, String> {
        val (method, path) = case.call.split(' ')
        val body = if (method == "GET") null else case.body.toRequestBody()
        val request =
            Request.Builder().url("${host.url}/admin/v1$path").method(method, body)
                .header("Authorization", "Bearer $token").build()
        return http.newCall(request).execute().use { it.code to it.body.string() }
    }
}
