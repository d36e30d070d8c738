package fireflyhinge.schedule

import fireflyhinge.config.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FairQueueTest {
    private fun queue(weights: Map<String, Double> = emptyMap()) =
        FairQueue(SchedulerSettings().classWeights) { weights[it] ?: 1.0 }

    private fun entry(
        id: String,
        workspace: String,
        tokens: Int,
        priority: Priority = Priority.INTERACTIVE,
        lateAt: Long = Long.MAX_VALUE,
    ) =
        QueueEntry(
            request(id, workspace, priority).copy(promptTokens = tokens, maxOutputTokens = 0),
            limits = WaitLimits(deadline = Long.MAX_VALUE, lateAt = lateAt),
            lastRequestedAt = 0,
        )

    private fun FairQueue.takeAll(count: Int): List<QueueEntry> =
        generateSequence { next(emptySet())?.also(::take) }.take(count).toList()

    private fun tokens(entries: List<QueueEntry>, key: (QueueEntry) -> Any): Map<Any, Double> =
        entries.groupBy(key).mapValues { group -> group.value.sumOf { it.cost } }

    /** Guards against shares that count requests instead of tokens, and against ignored weights. */
    @Test
    fun workspacesShareTokensByWeight() {
        val cases =
            listOf(
                mapOf("a" to 1.0, "b" to 1.0),
                mapOf("a" to 3.0, "b" to 1.0),
                mapOf("a" to 0.1, "b" to 0.4),
            )
        cases.forEach { weights ->
            val queue = queue(weights)
            repeat(1_000) { queue.add(entry("a$it", "a", tokens = 500)) }
            repeat(1_000) { queue.add(entry("b$it", "b", tokens = 2_000)) }
            val served = tokens(queue.takeAll(400)) { it.request.workspace }
            val expected = weights.getValue("a") / weights.getValue("b")
            val ratio = served.getValue("a") / served.getValue("b")
            assertTrue(ratio in expected * 0.9..expected * 1.1, "$weights: $ratio")
        }
    }

    /** Guards against late or batch requests that starve, or that get more than their minimum. */
    @Test
    fun lateAndBatchGetTheirMinimumWhileAllWait() {
        val queue = queue()
        repeat(2_000) { queue.add(entry("i$it", "a", tokens = 1_000)) }
        repeat(2_000) { queue.add(entry("l$it", "a", tokens = 1_100, lateAt = 0)) }
        repeat(2_000) { queue.add(entry("b$it", "b", tokens = 700, priority = Priority.BATCH)) }
        val served = tokens(queue.takeAll(1_500)) { it.queueClass }
        val expected = mapOf(QueueClass.LATE to 0.05, QueueClass.BATCH to 0.1)
        expected.forEach { (name, part) ->
            val share = served.getValue(name) / served.values.sum()
            assertTrue(share in part * 0.95..part * 1.05, "$name: $share")
        }
    }

    /** Guards against batch requests that use capacity left by on-time requests while late requests wait. */
    @Test
    fun lateRequestsGoBeforeBatch() {
        val queue = queue()
        repeat(2_000) { queue.add(entry("l$it", "a", tokens = 1_000, lateAt = 0)) }
        repeat(2_000) { queue.add(entry("b$it", "b", tokens = 700, priority = Priority.BATCH)) }
        val served = tokens(queue.takeAll(1_000)) { it.queueClass }
        val share = served.getValue(QueueClass.BATCH) / served.values.sum()
        assertTrue(share in 0.095..0.105, "$share")
    }

    /** Guards against late requests that precede newer on-time ones, and against unfair shares in the late class. */
    @Test
    fun lateRequestsMoveAndShareByWeight() {
        val queue = queue(mapOf("a" to 3.0))
        repeat(300) { queue.add(entry("a$it", "a", tokens = 1_000, lateAt = 500)) }
        repeat(300) { queue.add(entry("b$it", "b", tokens = 1_000, lateAt = 500)) }
        queue.add(entry("new", "b", tokens = 1_000, lateAt = 600))
        queue.moveLateRequests(now = 500)
        val taken = queue.takeAll(201)
        assertEquals("new/1", taken.first().id)
        val served = tokens(taken.drop(1)) { it.request.workspace }
        val ratio = served.getValue("a") / served.getValue("b")
        assertTrue(ratio in 2.7..3.3, "$ratio")
    }

    /** Guards against a retry, whose response may have started, that waits behind new requests of its workspace. */
    @Test
    fun retriesGoFirstInTheirWorkspace() {
        val queue = queue()
        queue.add(entry("1", "a", tokens = 10))
        val retry = request("2", "a").copy(attempt = 2)
        queue.add(QueueEntry(retry, limits = WaitLimits(deadline = 0), lastRequestedAt = 0))
        assertEquals(listOf("2/2", "1/1"), queue.takeAll(2).map { it.id })
    }

    /** Guards against an entry that is lost or served twice when other entries are removed or skipped. */
    @Test
    fun everyEntryIsServedOnce() {
        val queue = queue()
        repeat(50) { queue.add(entry("$it", "w${it % 7}", tokens = 1 + it * 37 % 5_000)) }
        repeat(10) { queue.remove("${it * 5}/1") }
        val skipped = checkNotNull(queue.next(emptySet()))
        assertTrue(queue.next(setOf(skipped.id))?.id != skipped.id)
        assertEquals(
            (0 until 50).filter { it % 5 != 0 }.map { "$it/1" }.toSet(),
            queue.takeAll(50).map { it.id }.toSet()
        )
        assertTrue(queue.isEmpty)
    }
}
