package fireflyhinge.systemtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.extension.RegisterExtension

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class JoiningTest {
    private val workspaces = BucketNames.spread.map { WorkspaceSpec(it, rate = RATE, burst = BURST) }

    @RegisterExtension
    @JvmField
    internal val running = FleetExtension(spec())
    private val fleet = running.fleet

    private fun spec(): FleetSpec {
        val small = TestFleets.withPaidCalls(TestFleets.small(vms = 4, workspaces = workspaces))
        return small.copy(vms = small.vms.map { it.copy(late = it.id == JOINING) })
    }

    /** Guards against refusals, and tokens beyond rate and burst, when buckets move to a VM that joins under load. */
    @Test
    fun noRequestIsRefusedWhenBucketsMoveToAVmThatJoins() {
        val before = owners()
        val vms = fleet.spec.vms.map { it.id }
        val perSecond = FACTOR * RATE / PacedLoad.COST
        val loads = workspaces.map { PacedLoad(fleet, it, vms - JOINING, perSecond, plain = true) }
        Thread.sleep(LOAD_MILLIS)
        fleet.setVms(vms.associateWith { false })
        fleet.restart(JOINING)
        fleet.await("the VM that joined owns no bucket") { JOINING in owners().values }
        Thread.sleep(LOAD_MILLIS)
        val outcomes = loads.map { it.finish() }
        val moved = owners().filter { (workspace, vm) -> before[workspace] != vm }
        println("buckets moved: $moved; requests: ${outcomes.map { it.size }}")
        assertTrue(outcomes.all { it.size > LOAD_MILLIS / 1000 }, "too few requests")
        assertEquals(emptyList<ChatOutcome>(), outcomes.flatten().filter { !it.whole })
        val excess = outcomes.map { maxOf(0.0, RateExcess.of(it, RATE, BURST)) }
        assertEquals(workspaces.map { 0.0 }, excess, "admitted beyond rate and burst")
    }

    private fun owners() = workspaces.associate { it.name to fleet.ownerOf("quota/${it.name}") }

    private companion object {
        const val JOINING = "vm-4"

        const val RATE = 300.0
        const val BURST = 600.0
        const val FACTOR = 0.9
        const val LOAD_MILLIS = 5_000L
    }
}
