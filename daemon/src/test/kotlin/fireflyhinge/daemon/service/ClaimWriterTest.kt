package fireflyhinge.daemon.service

import fireflyhinge.daemon.fake.FakeStore
import fireflyhinge.daemon.fake.FakeStore.Fault
import fireflyhinge.store.ObjectName
import fireflyhinge.store.WriteCondition
import fireflyhinge.time.MonotonicClock
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test

class ClaimWriterTest {
    private val store = FakeStore()
    private val limits = ServiceLimits(claimWriteMillis = 300)
    private var readings = 0L

    /** A second passes between calls, as in a process that is stalled in each pause; a call takes no time. */
    private val stalling = MonotonicClock { readings++ / 2 * 1_000_000_000 }
    private val writer = ClaimWriter(store, limits, stalling)

    /** Guards against a call that is refused by a stalled process, although the store answers at the next try. */
    @Test
    fun aStallBetweenTriesDoesNotEndThem() {
        listOf(
            listOf(Fault.REPLY_LOST),
            listOf(Fault.REQUEST_LOST),
            listOf(Fault.REPLY_LOST, Fault.REPLY_LOST),
            listOf(Fault.DOWN, Fault.REQUEST_LOST),
        ).forEachIndexed { i, faults ->
            store.faults.addAll(faults)
            val name = ObjectName("claims", "order-$i")
            val result = writer.write(name, "claimed", WriteCondition.Absent)
            assertFalse(result is WriteResult.Failed, "$faults: $result")
            assertEquals("claimed", store.objects[name]?.value, "$faults")
        }
    }

    /** Guards against a write that is repeated for as long as the store is down. */
    @Test
    fun anOutageEndsTheTries() {
        store.down = true
        val result = writer.write(ObjectName("claims", "order"), "claimed", WriteCondition.Absent)
        assertEquals(WriteResult.Failed("down", uncertain = false), result)
    }
}
