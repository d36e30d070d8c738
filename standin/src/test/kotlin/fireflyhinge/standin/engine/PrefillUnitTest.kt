package fireflyhinge.standin.engine

import fireflyhinge.config.Priority
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.Holder
import fireflyhinge.engine.PrefillRequest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

class PrefillUnitTest {
    private fun request(name: String, priority: Priority) =
        PrefillRequest(EngineRequestId(name, 1), Holder("vm1", 1), "t", "m", "w", emptyList(), priority = priority)

    /** Guards against a prefill replica that ignores priorities or runs two prefills at once. */
    @Test
    fun interactiveRequestsOvertakeWaitingBatchRequests() {
        val unit = PrefillUnit(microsPerToken = 10_000)
        val started = ConcurrentLinkedQueue<String>()
        val order = listOf("b1" to Priority.BATCH, "b2" to Priority.BATCH, "i1" to Priority.INTERACTIVE)
        val jobs = order.map { (name, priority) -> unit.enqueue(request = request(name, priority), tokens = 10) }
        val start = System.nanoTime()
        jobs
            .map { job -> thread { unit.run(job = job, started = { started.add(job.request.id.request) }, beat = {}) } }
            .forEach { it.join() }
        assertEquals(listOf("i1", "b1", "b2"), started.toList())
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) >= 300, "one after the other")
    }

    /** Guards against a link that carries several transfers at its full rate at the same time. */
    @Test
    fun transfersFollowOneAnother() {
        val link = TransferLink(megabytesPerSecond = 10)
        assertEquals(100_000_000, link.nanosFor(bytes = 1_000_000))
        val start = System.nanoTime()
        (1..3)
            .map {
                thread {
                    link.exclusively(stop = { false }) { Waits.sleep(nanos = link.nanosFor(1_000_000)) { false } }
                }
            }.forEach { it.join() }
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start) >= 300, "one after the other")
    }
}
