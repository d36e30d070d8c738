package fireflyhinge.forward

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.random.Random

class HomeRegionAdmissionTest {
    private class Case(val route: Set<String>, val workspace: Set<String>, val regions: Set<String>?)

    private fun route(name: String, regions: Set<String>, isPublic: Boolean = false, host: String = "shop.example") =
        ForwardRoute(
            name,
            host,
            "/$name/",
            CallKind.IDEMPOTENT,
            listOf(RouteTarget("s")),
            timeoutMillis = 1,
            objectiveMillis = 1,
            isPublic = isPublic,
            allowedRegions = regions,
        )

    private fun config(routes: List<ForwardRoute>, workspace: Set<String> = emptySet()) =
        ForwardConfig(
            version = 1,
            routes = routes,
            services = emptyMap(),
            workspaces =
            mapOf("w" to ForwardWorkspace("w", WorkspaceLimit(1.0, 1.0), 1, chargesTokens = false, workspace)),
            keys = mapOf("k" to "w"),
        )

    private fun admit(config: ForwardConfig, uri: String) =
        Admission.of(config, "Shop.Example:8360", uri, RequestMetadata("id", null, "k", null, null, null, null))

    /** Guards against requests that are admitted for more regions than route and workspace both allow. */
    @Test
    fun homeRegionsOfRouteAndWorkspaceBothApply() {
        listOf(
            Case(emptySet(), emptySet(), null),
            Case(setOf("a"), emptySet(), setOf("a")),
            Case(emptySet(), setOf("a", "b"), setOf("a", "b")),
            Case(setOf("a", "b"), setOf("b", "c"), setOf("b")),
            Case(setOf("a"), setOf("b"), emptySet()),
        ).forEach { case ->
            val config = config(listOf(route("x", case.route), route("p", case.route, isPublic = true)), case.workspace)
            val what = "${case.route} and ${case.workspace}"
            when (val admitted = admit(config, "/x/1")) {
                is Outcome.Success -> assertEquals(case.regions, admitted.value.homeRegions, what)
                is Outcome.Failure -> {
                    assertEquals(ResultCode.NO_COMMON_REGION, admitted.code, what)
                    assertNull(admitted.retryAfterMillis, what)
                    assertEquals(emptySet<String>(), case.regions, what)
                }
            }
            val public = admit(config, "/p/1") as Outcome.Success
            assertEquals(case.route.ifEmpty { null }, public.value.homeRegions, "a public route with ${case.route}")
        }
    }

    /** Guards against lookups for a host that name regions in which one of its routes may not be served. */
    @Test
    fun hostHasTheRegionsOfAllItsRoutesThatHaveAny() {
        val other = route("o", setOf("c"), host = "other.example")
        listOf(
            listOf(emptySet<String>()) to null,
            listOf(emptySet(), setOf("a", "b")) to setOf("a", "b"),
            listOf(setOf("a", "b"), setOf("b", "c")) to setOf("b"),
            listOf(setOf("a"), setOf("b")) to emptySet(),
        ).forEach { (lists, expected) ->
            val routes = lists.mapIndexed { index, regions -> route("x$index", regions) }
            assertEquals(expected, config(routes + other).table.homeRegions("Shop.Example:8360"), "$lists")
        }
        assertNull(config(listOf(other)).table.homeRegions("shop.example"), "the host has no routes")
    }

    private val domains = FailureDomains("a1", mapOf("a1" to "a", "b1" to "b"))

    /** Guards against a choice of another region as a last resort, for any stage. */
    @Test
    fun replicasOutsideTheFilterAreNeverSelected() {
        val table = ReplicaTable(ManualClock())
        val selector = ReplicaSelector(table, domains, { 50_000 }, Random(1))
        ReplicaStage.entries.forEach { stage ->
            val replicas = listOf("a1", "b1", "c").map { Replica("$stage-$it", "s", "$it:1", it, stage, slots = 4) }
            table.replace(replicas)
            listOf(null to 3, setOf("a") to 1, setOf("b") to 1, setOf("c") to 1, setOf("a", "b") to 2, setOf("d") to 0)
                .forEach { (regions, expected) ->
                    val filter = selector.within(regions)
                    val chosen = HashSet<String>()
                    while (true) {
                        val state = selector.select("s", stage, chosen, filter = filter) ?: break
                        chosen += state.replica.id
                    }
                    assertEquals(expected, chosen.size, "$stage in $regions: $chosen")
                    val near = selector.select("s", stage, near = "a1", filter = filter)?.replica?.failureDomain
                    assertEquals(if (regions == null || "a" in regions) "a1" else null, near, "$stage in $regions")
                    if (stage == ReplicaStage.DECODE) {
                        val other = replicas.filterNot { it.id in chosen }.map { it.id }
                        val state = selector.selectWithCapacity("s", 1, emptySet(), resumed = true, filter)
                        assertEquals(expected == 0, state == null, "$regions")
                        assertEquals(false, state?.replica?.id in other, "$regions")
                    }
                }
        }
    }

    /** Guards against waiting for a replica outside the home regions, and against a pause there that counts. */
    @Test
    fun onlyReplicasOfHomeRegionsCountForARefusal() {
        val table = ReplicaTable(ManualClock())
        val selector = ReplicaSelector(table, domains, { 0 }, Random(1))
        table.replace(listOf("a1", "b1").map { Replica(it, "s", "$it:1", it, ReplicaStage.PLAIN, slots = 4) })
        table.usable("s", ReplicaStage.PLAIN).first { it.replica.id == "a1" }.availability.requestBackoff(1_000)
        val a = selector.within(setOf("a"))
        assertEquals(1_000, table.backoffMillis("s", ReplicaStage.PLAIN, a))
        assertNull(table.backoffMillis("s", ReplicaStage.PLAIN, selector.within(setOf("b"))))
        assertNull(table.backoffMillis("s", ReplicaStage.PLAIN))
        table.evacuatedDomains = setOf("a1")
        assertEquals(true, table.allEvacuated("s", ReplicaStage.PLAIN, a))
        assertEquals(false, table.allEvacuated("s", ReplicaStage.PLAIN))
        assertEquals(false, table.allEvacuated("s", ReplicaStage.PLAIN, selector.within(setOf("c"))))
    }
}
