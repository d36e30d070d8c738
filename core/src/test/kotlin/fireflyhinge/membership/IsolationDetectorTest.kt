package fireflyhinge.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class IsolationDetectorTest {
    private class Case(val name: String, val isolated: Boolean, val act: IsolationDetector.(Long) -> Unit)

    /**
     * Guards against a VM that serves revoked keys after a partition or a pause, when contact returns before the missed
     * changes arrive.
     */
    @Test
    fun isolationEndsOnlyAfterACompleteReadThatBeganAfterIt() {
        val cases =
            listOf(
                Case("no read", isolated = true) { },
                Case("store read", isolated = false) { now -> onStoreRead(startedAt = now) },
                Case("store read from before", isolated = true) { onStoreRead(startedAt = LOST) },
                Case("current peer", isolated = false) { onCompared("vm0", current = true, startedAt = it, now = it) },
                Case("peer from before", isolated = true) { now -> onCompared("vm0", current = true, LOST, now) },
                Case("a few others that may lack changes", isolated = true) { compare(listOf("vm0", "vm1"), it) },
                Case("half of the others", isolated = false) { compare(listOf("vm0", "vm1", "vm2", "vm3"), it) },
                Case("one of them again", isolated = true) { compare(List(4) { "vm0" }, it) },
                Case("seed addresses", isolated = true) { compare(listOf("a:1", "b:1", "c:1", "d:1"), it) },
            )
        cases.forEach { case ->
            val table = MemberTable(vm("self"))
            val updates = MemberUpdates(table)
            val detector = IsolationDetector(table, startedAt = 0)
            detector.onStoreRead(startedAt = 0)
            assertEquals(false, detector.isolated(1), "${case.name}: after the start")
            repeat(OTHERS) { updates.merge(vm("vm$it"), now = 0) }
            detector.check(LOST)
            repeat(OTHERS) { updates.onHeard("vm$it", BACK) }
            detector.onStoreReached(BACK)
            case.act(detector, BACK)
            assertEquals(case.isolated, detector.isolated(BACK), case.name)
        }
    }

    /** Guards against a VM that serves callers without a configuration or with one of unknown age. */
    @Test
    fun vmIsIsolatedUntilItsFirstRead() {
        val detector = IsolationDetector(MemberTable(vm("self")), startedAt = 0)
        assertEquals(true, detector.isolated(1))
        detector.onCompared("seed:1", current = false, startedAt = 1, now = 1)
        assertEquals(true, detector.isolated(2), "a seed may be partitioned too, and is not half of an unknown fleet")
    }

    private fun IsolationDetector.compare(peers: List<String>, now: Long) =
        peers.forEach { onCompared(it, current = false, startedAt = now, now = now) }

    private companion object {
        const val OTHERS = 7
        const val LOST = 20_000L
        const val BACK = 20_500L
    }
}
