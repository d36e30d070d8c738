package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class GatewayAddressSelectorTest {
    private val domains =
        FailureDomains("a1", mapOf("a1" to "a", "a2" to "a", "b1" to "b", "b2" to "b", "c1" to "c"))

    private class Case(
        val what: String,
        val ready: String,
        val home: Set<String>?,
        val expected: String,
        val domain: String? = "a1",
        val region: String? = "a",
    )

    /** Guards against leading callers to regions in which requests of the host must not be served. */
    @Test
    fun callersGetVmsOfTheirRegionOrOfHomeRegions() {
        listOf(
            Case("enough in the failure domain", "a1 a1 a2 b1", setOf("b"), "a1 a1"),
            Case("enough in the region", "a1 a2 b1", setOf("b"), "a1 a2"),
            Case("one in the region", "a1 b1 c1", setOf("b"), "a1 b1"),
            Case("none in the region", "b1 b2 c1", setOf("b"), "b1 b2"),
            Case("the region is a home region", "a1 b1 c1", setOf("a"), "a1"),
            Case("one in the region, none in home regions", "a1 c1", setOf("b"), "a1"),
            Case("none in either", "c1 c1", setOf("b"), "c1 c1"),
            Case("no region is allowed for all routes", "a1 b1", emptySet(), "a1"),
            Case("no region is allowed, none in the region", "b1 c1", emptySet(), "b1 c1"),
            Case("the caller tells no failure domain", "a1 b1 c1", setOf("b"), "a1 b1", domain = null),
            Case("the caller tells no region", "a1 b1 c1", setOf("b"), "a1 b1", region = null),
            Case("the caller tells nothing", "a1 b1 c1", setOf("b"), "b1", domain = null, region = null),
            Case("the caller is elsewhere", "a1 b1 c1", setOf("b"), "b1", domain = "x1", region = "x"),
            Case("no home regions", "a1 b1 c1", null, "a1 b1 c1"),
            Case("no home regions, enough in the region", "a1 a2 b1", null, "a1 a2"),
        ).forEach { case ->
            val selector = GatewayAddressSelector(fleet(case.ready.split(' ')), domains)
            val fronts = selector.select(case.domain, case.region, case.home).map { it.substringBefore('-') }
            assertEquals(case.expected, fronts.sorted().joinToString(" "), case.what)
        }
    }

    /** A fleet with a ready VM in each of [places]; this VM itself is not ready. */
    private fun fleet(places: List<String>): FleetView {
        val view = FleetView(vm("own", "a1").copy(ready = false), ManualClock())
        view.merge(places.mapIndexed { index, domain -> vm("$domain-$index", domain) })
        return view
    }

    private fun vm(name: String, domain: String) =
        VmRecord(name, "$name:1", "$name:2", domain, startedAt = 1, heartbeat = 1, ready = true)
}
