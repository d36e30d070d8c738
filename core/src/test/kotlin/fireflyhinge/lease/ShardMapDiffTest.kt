package fireflyhinge.lease

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ShardMapDiffTest {
    private val a = ProcessId("vm-a", incarnation = 1)
    private val b = ProcessId("vm-b", incarnation = 1)
    private val entry = ShardEntry(owner = a, successor = b, epoch = 1, ownerEpoch = 1)
    private val before = ShardMap("perth", List(3) { entry })

    /** Guards against log lines that do not show why a joining VM owns no shards. */
    @Test
    fun changesAreListedByShard() {
        val cases =
            mapOf(
                before to "owned {vm-a=3}; owners changed {}; successors changed {}",
                before.with(mapOf(1 to entry.withSuccessor(next = null, former = listOf(b)))) to
                    "owned {vm-a=3}; owners changed {}; successors changed {vm-b>null=[1]}",
                before.with(mapOf(0 to entry.handedTo(b, successor = a), 2 to entry.handedTo(b, successor = a))) to
                    "owned {vm-a=1, vm-b=2}; owners changed {vm-a>vm-b=[0, 2]}; successors changed {vm-b>vm-a=[0, 2]}",
            )
        assertEquals(cases.values.toList(), cases.keys.map { ShardMapDiff(before, it).toString() })
        assertEquals("owned {vm-a=3}; owners changed {}; successors changed {}", "${ShardMapDiff(null, before)}")
    }
}
