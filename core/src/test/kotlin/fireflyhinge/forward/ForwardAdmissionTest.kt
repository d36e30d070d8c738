package fireflyhinge.forward

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ForwardAdmissionTest {
    private val workspace = ForwardWorkspace("w", WorkspaceLimit(0.0, 0.0), defaultCost = 200, chargesTokens = true)
    private val open = route("open", "/open/").copy(isPublic = true)
    private val config =
        ForwardConfig(
            version = 3,
            routes = listOf(route("short", "/a/"), route("long", "/a/b/"), open),
            services = emptyMap(),
            workspaces = mapOf("w" to workspace),
            keys = mapOf("key" to "w", "orphan" to "nobody", "misnamed" to "w\n"),
            invalidWorkspaces = setOf("w\n"),
        )

    private fun route(name: String, prefix: String) =
        ForwardRoute(name, "Shop.example", prefix, CallKind.IDEMPOTENT, listOf(RouteTarget("s")), 1_000, 300)

    private fun facts(key: String?, tokens: Int? = null) = RequestMetadata("id", null, key, tokens, null, null, null)

    private class Case(val what: String, val host: String, val uri: String, val key: String?, val expected: Any)

    /** Guards against admitting requests without a route or API key, and against matching a shorter prefix. */
    @Test
    fun requestsAreAdmittedByRouteAndKey() {
        listOf(
            Case("longest prefix", "shop.example", "/a/b/c?x=/open/", "key", "long"),
            Case("host with a port", "shop.example:80", "/a/x", "key", "short"),
            Case("public route", "shop.example", "/open/x", null, "open"),
            Case("other host", "other.example", "/a/x", "key", ResultCode.UNKNOWN_ROUTE),
            Case("no prefix", "shop.example", "/c", "key", ResultCode.UNKNOWN_ROUTE),
            Case("no key", "shop.example", "/a/x", null, ResultCode.KEY_ABSENT),
            Case("unknown key", "shop.example", "/a/x", "no", ResultCode.KEY_UNKNOWN),
            Case("key without workspace", "shop.example", "/a/x", "orphan", ResultCode.KEY_UNKNOWN),
            Case("invalid workspace", "shop.example", "/a/x", "misnamed", ResultCode.WORKSPACE_INVALID),
        ).forEach { case ->
            val result =
                when (val admitted = Admission.of(config, case.host, case.uri, facts(case.key))) {
                    is Outcome.Success -> admitted.value.route.name
                    is Outcome.Failure -> admitted.code
                }
            assertEquals(case.expected, result, case.what)
        }
    }

    /** Guards against charging anything but the declared tokens, or the default cost without them. */
    @Test
    fun requestsCostTheirDeclaredTokens() {
        val admitted = Admission.of(config, "shop.example", "/a/x", facts("key")) as Outcome.Success
        assertEquals(200, admitted.value.cost(facts("key")))
        assertEquals(5_000, admitted.value.cost(facts("key", tokens = 5_000)))
    }

    /** Guards against a traffic split that ignores its weights. */
    @Test
    fun aSplitFollowsItsWeights() {
        val split = route("split", "/").copy(targets = listOf(RouteTarget("a", 90), RouteTarget("b", 10)))
        val counts = (0 until 100).groupingBy { split.target(it / 100.0) }.eachCount()
        assertEquals(mapOf("a" to 90, "b" to 10), counts)
        assertEquals(null, split.copy(targets = emptyList()).target(0.5))
    }
}
