package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FleetView
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue

class OwnEntryTest {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val record = VmRecord("vm-1", "10.1.0.3:80", "10.1.0.3:81", "north", 5)

    @AfterEach
    fun stop() = scope.cancel()

    /** Confirms or refuses writes in order, and then confirms them; [onWrite] runs during each. */
    private class Writes(vararg confirmed: Boolean, val onWrite: KnownEra.(Int) -> Unit = {}) : StubStore() {
        private val left = ArrayDeque(confirmed.asList())
        val times = ConcurrentLinkedQueue<Long>()

        override suspend fun register(record: VmRecord): Boolean {
            times += monotonicMillis()
            era.onWrite(times.size)
            return left.removeFirstOrNull() ?: true
        }
    }

    private fun writes(store: Writes, millis: Long): List<Long> {
        scope.launch { OwnEntry(store, FleetView(record)).run(confirmedEra = 1) }
        Thread.sleep(millis)
        return store.times.toList()
    }

    /** Guards against an entry that is lost for good, and against writes without a restore. */
    @Test
    fun entryIsWrittenOnceAfterEachRestore() {
        val store = Writes()
        store.era.observe(1, "store")
        assertEquals(0, writes(store, 300).size)
        store.era.observe(2, "store")
        Thread.sleep(1_500)
        assertEquals(1, store.times.size)
        store.era.observe(3, "store")
        Thread.sleep(1_500)
        assertEquals(2, store.times.size)
    }

    /** Guards against VMs that all write at once after a restore. */
    @Test
    fun writesOfManyVmsAreSpreadOverASecond() {
        val stores = List(70) { Writes().also { it.era.observe(2, "store") } }
        stores.forEach { scope.launch { OwnEntry(it, FleetView(record)).run(confirmedEra = 1) } }
        Thread.sleep(2_000)
        val times = stores.flatMap { it.times }.sorted()
        assertEquals(70, times.size)
        val busiest = times.maxOf { from -> times.count { it in from until from + 200 } }
        assertTrue(busiest <= 35) { "$busiest of 70 writes within 200 ms" }
    }

    /** Guards against writes without a pause while the store refuses them. */
    @Test
    fun refusedWritesAreRepeatedWithPauses() {
        val store = Writes(false, false, false).also { it.era.observe(2, "store") }
        val times = writes(store, 8_000)
        assertEquals(4, times.size)
        assertTrue(times.zipWithNext().all { (one, next) -> next - one >= 450 }) { "$times" }
    }

    /** Guards against an entry that is lost because the store was restored again while it was written. */
    @Test
    fun entryIsWrittenAgainIfTheStoreIsRestoredMeanwhile() {
        val store = Writes(onWrite = { if (it == 1) observe(3, "store") }).also { it.era.observe(2, "store") }
        assertEquals(2, writes(store, 4_000).size)
    }
}
