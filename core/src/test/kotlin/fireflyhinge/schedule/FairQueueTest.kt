package fireflyhinge.schedule

import fireflyhinge.config.Priority
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FairQueueTest {
    private fun queue(weights: Map<String, Double> = emptyMap()) = FairQueue(0.1) { weights[it] ?: 1.0 }

    private fun entry(id: String, workspace: String, tokens: Int, priority: Priority = Priority.INTERACTIVE) =
        QueueEntry(
            request(id, workspace, priority).copy(promptTokens = tokens, maxOutputTokens = 0),
            deadline = Long.MAX_VALUE,
            askedAt = 0,
        )

    private fun FairQueue.takeAll(count: Int): List<QueueEntry> =
        generateSequence { next(emptySet())?.also(::take) }.take(count).toList()

    private fun tokens(entries: List<QueueEntry>, key: (QueueEntry) -> Any): Map<Any, Double> =
        entries.groupBy(key).mapValues { group -> group.value.sumOf { it.cost } }

    /** Guards against shares counted in requests instead of tokens, and against weights that are ignored. */
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

    /** Guards against batch work that starves behind interactive work, or that gets more than its minimum. */
    @Test
    fun batchGetsATenthWhileBothWait() {
        val queue = queue()
        repeat(2_000) { queue.add(entry("i$it", "a", tokens = 1_000)) }
        repeat(2_000) { queue.add(entry("b$it", "b", tokens = 700, priority = Priority.BATCH)) }
        val served = tokens(queue.takeAll(1_000)) { it.request.priority }
        val share = served.getValue(Priority.BATCH) / served.values.sum()
        assertTrue(share in 0.095..0.105, "$share")
    }

    /** Guards against a retry, whose answer has begun, that waits behind its workspace's new requests. */
    @Test
    fun retriesGoFirstInTheirWorkspace() {
        val queue = queue()
        queue.add(entry("1", "a", tokens = 10))
        queue.add(QueueEntry(request("2", "a").copy(attempt = 2), deadline = 0, askedAt = 0))
        assertEquals(listOf("2/2", "1/1"), queue.takeAll(2).map { it.id })
    }

    /** Guards against an entry that is lost or served twice when others are removed or skipped. */
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
