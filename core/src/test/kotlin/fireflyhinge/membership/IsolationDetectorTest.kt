package fireflyhinge.membership

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class IsolationDetectorTest {
    private class Case(val what: String, val isolated: Boolean, val act: IsolationDetector.(Long) -> Unit)

    /**
     * Guards against a VM that serves revoked keys after a partition or a pause: contact comes back before the changes
     * that were missed do.
     */
    @Test
    fun isolationEndsOnlyAfterACompleteReadThatBeganAfterIt() {
        val cases =
            listOf(
                Case("no read", isolated = true) { },
                Case("store read", isolated = false) { now -> onStoreRead(began = now) },
                Case("store read from before", isolated = true) { onStoreRead(began = LOST) },
                Case("current peer", isolated = false) { now -> onCompared("vm0", current = true, began = now, now) },
                Case("peer from before", isolated = true) { now -> onCompared("vm0", current = true, LOST, now) },
                Case("a few others that may lack changes", isolated = true) { compare(listOf("vm0", "vm1"), it) },
                Case("half of the others", isolated = false) { compare(listOf("vm0", "vm1", "vm2", "vm3"), it) },
                Case("one of them again", isolated = true) { compare(List(4) { "vm0" }, it) },
                Case("seed addresses", isolated = true) { compare(listOf("a:1", "b:1", "c:1", "d:1"), it) },
            )
        cases.forEach { case ->
            val table = MemberTable(vm("self"))
            val updates = MemberUpdates(table)
            val rule = IsolationDetector(table, startedAt = 0)
            rule.onStoreRead(began = 0)
            assertEquals(false, rule.isolated(1), "${case.what}: after the start")
            repeat(OTHERS) { updates.merge(vm("vm$it"), now = 0) }
            rule.check(LOST)
            repeat(OTHERS) { updates.onHeard("vm$it", BACK) }
            rule.onStoreReached(BACK)
            case.act(rule, BACK)
            assertEquals(case.isolated, rule.isolated(BACK), case.what)
        }
    }

    /** Guards against a VM that serves callers with no configuration or with one of unknown age. */
    @Test
    fun aVmIsIsolatedUntilItsFirstRead() {
        val rule = IsolationDetector(MemberTable(vm("self")), startedAt = 0)
        assertEquals(true, rule.isolated(1))
        rule.onCompared("seed:1", current = false, began = 1, now = 1)
        assertEquals(true, rule.isolated(2), "a seed that was cut off as well is not half of a fleet yet unknown")
    }

    private fun IsolationDetector.compare(peers: List<String>, now: Long) =
        peers.forEach { onCompared(it, current = false, began = now, now = now) }

    private companion object {
        const val OTHERS = 7
        const val LOST = 20_000L
        const val BACK = 20_500L
    }
}
