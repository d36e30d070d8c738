package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class FleetViewTest {
    private val clock = ManualClock()
    private val fleet = FleetView(vm("own", "north"), clock)
    private val domains = FailureDomains("north", mapOf("north" to "r1", "south" to "r1", "west" to "r2"))

    private fun vm(name: String, domain: String, heartbeat: Long = 1, ready: Boolean = true) =
        VmRecord(name, "$name:1", "$name:2", domain, startedAt = 1, heartbeat = heartbeat, ready = ready)

    private fun fronts(domain: String?) = GatewayAddressSelector(fleet, domains).select(domain).toSet()

    /** Guards against directing callers to VMs that timed out, refuse connections or are not ready. */
    @Test
    fun callersGetVmsThatTakeRequests() {
        fleet.heartbeat(ready = true)
        fleet.merge(listOf(vm("a", "north"), vm("b", "south"), vm("c", "west"), vm("d", "west", ready = false)))
        listOf(
            Triple("two in the failure domain", "north", setOf("own:1", "a:1")),
            Triple("one there, others in the region", "south", setOf("own:1", "a:1", "b:1")),
            Triple("one in the region", "west", setOf("own:1", "a:1", "b:1", "c:1")),
        ).forEach { (what, domain, expected) -> assertEquals(expected, fronts(domain), what) }
        fleet.connectionRefused("a")
        assertEquals(setOf("own:1", "b:1"), fronts("north"), "a refused a connection")
        fleet.merge(listOf(vm("a", "north", heartbeat = 2)))
        assertEquals(setOf("own:1", "a:1"), fronts("north"), "a runs again")
        clock.advance(3_000)
        assertEquals(setOf("own:1"), fronts("north"), "all others are silent")
    }

    /**
     * Load: 83 VMs, whose records make each exchange large. Guards against traffic that grows with the square of the
     * number of VMs, and against VMs that time out between two exchanges at the longer interval.
     */
    @Test
    fun exchangesOfLargeFleetsAreFartherApartAndSilenceIsLonger() {
        listOf(7 to 1.0, 24 to 1.0, 48 to 2.0, 500 to 3.5).forEach { (others, spacing) ->
            val view = FleetView(vm("own", "north"), clock)
            view.merge((1..others).map { vm("v$it", "north") })
            assertEquals(spacing, view.exchangeIntervalFactor, "$others others")
            listOf(1.0 to others, 1.1 to 0).forEach { (times, live) ->
                clock.advance(((2_500 * (1 + spacing) / 2 - 1) * times).toLong())
                assertEquals(live, view.live().size, "$others others, $times of the longest silence")
                view.merge((1..others).map { vm("v$it", "north", heartbeat = 2) })
            }
        }
    }

    /** Guards against a partitioned VM that takes over the shares of all others, which still use them. */
    @Test
    fun limitsAreSharedWithSilentVmsWhileMostAreSilent() {
        fleet.merge((1..7).map { vm("v$it", "north") })
        assertEquals(8, fleet.quotaMembers().size)
        clock.advance(21_000)
        assertEquals(8, fleet.quotaMembers().size, "cut off")
        fleet.merge((1..5).map { vm("v$it", "north", heartbeat = 2) })
        assertEquals(6, fleet.quotaMembers().size, "two are gone for good")
    }

    /**
     * Load: a workspace whose rate is a few requests a second, on 80 VMs. Guards against shares that hold less than one
     * request, and against VMs that disagree on the holders of a limit.
     */
    @Test
    fun fewVmsHoldALimitAndAllAgreeWhich() {
        val names = (1..80).map { "v$it" }
        val held =
            names.map { own ->
                val view = FleetView(vm(own, "north"), clock)
                view.merge(names.filter { it != own }.map { vm(it, "north") })
                listOf("w1", "w2").map { view.quotaHolders(it).toSet() }
            }
        assertEquals(1, held.toSet().size)
        assertEquals(listOf(8, 8), held.first().map { it.size })
        assertEquals(true, held.first().toSet().size == 2, "two workspaces have other holders")
        fleet.merge((1..6).map { vm("v$it", "north") })
        assertEquals(7, fleet.quotaHolders("w1").size, "a small fleet shares among all")
    }

    /** Guards against load that is counted twice or retained after its VM has timed out. */
    @Test
    fun tokensOfOtherVmsAreSummed() {
        val a = vm("a", "north").copy(tokens = mapOf("x" to 5))
        val b = vm("b", "west").copy(tokens = mapOf("x" to 2, "y" to 1))
        fleet.merge(listOf(a, b))
        assertEquals(mapOf("x" to 7L, "y" to 1L), fleet.remoteTokens())
        clock.advance(3_000)
        assertEquals(emptyMap<String, Long>(), fleet.remoteTokens())
    }

    /** Guards against asking only the VMs that run for what a VM that was lost has told others. */
    @Test
    fun vmsThatWereLostAreKnownForAMinute() {
        fleet.merge(listOf("silent", "refusing", "restarted", "sound").map { vm(it, "north") })
        fun lost() = fleet.lost.map { it.name }.toSet()
        assertEquals(emptySet<String>(), lost())
        fleet.connectionRefused("refusing")
        val restarted = vm("restarted", "north").copy(startedAt = 2)
        fleet.merge(listOf(restarted))
        assertEquals(setOf("refusing", "restarted"), lost())
        clock.advance(3_000)
        fleet.merge(listOf(restarted.copy(heartbeat = 2), vm("sound", "north", heartbeat = 2)))
        assertEquals(setOf("refusing", "restarted", "silent"), lost())
        clock.advance(59_000)
        assertEquals(setOf("restarted", "sound"), lost())
    }
}
