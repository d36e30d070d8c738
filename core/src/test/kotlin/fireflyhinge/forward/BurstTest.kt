package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class BurstTest {
    private fun total(run: (Long) -> BurstResult) = (1L..5L).map(run).reduce(BurstResult::plus)

    private fun polling(load: BurstLoad) = total { PollingBurst(it, load).result() }

    private fun queued(load: BurstLoad, faults: Double = 0.0) = total { QueuedBurst(it, load, faults).result() }

    /** Guards against a queue that serves fewer requests in a burst than VMs that poll, or that refuses more. */
    @Test
    fun burstIsServedBetterThanByPolling() {
        for (usual in listOf(36.0, 42.0, 46.0, 50.0)) {
            val load = BurstLoad(usual) { 1.7 }
            val polling = polling(load)
            val queue = queued(load)
            println("usual load $usual, polling: $polling")
            println("usual load $usual, queue: $queue")
            assertTrue(queue.inTime >= polling.inTime && queue.refused <= polling.refused) { "$usual: $queue" }
        }
    }

    /** Guards against a workspace whose load takes capacity away from the others. */
    @Test
    fun greedyWorkspaceLeavesTheOthersTheirShare() {
        val usual = BurstLoad(42.0, GREEDY_MILLIS) { 1.0 }
        val without = mapOf("polling" to polling(usual), "queue" to queued(usual))
        for (greedy in listOf(0, 1, 3)) {
            val load = BurstLoad(42.0, GREEDY_MILLIS) { if (it == greedy) 7.5 else 1.0 }
            val with = mapOf("polling" to polling(load), "queue" to queued(load))
            val others = BurstLoad.WEIGHTS.indices - greedy
            val worst =
                with.mapValues { (name, result) ->
                    others.minOf { result.value(it) / without.getValue(name).value(it) }
                }
            println("workspace $greedy at 7.5 times its load: worst of the others $worst; $with")
            assertTrue(worst.getValue("queue") >= 0.9) { "workspace $greedy: $worst" }
        }
    }

    /** Guards against messages between VMs while no request waits. */
    @Test
    fun noMessagesWithoutContention() {
        assertEquals(0, queued(BurstLoad(24.0) { 1.0 }).messages)
    }

    /** Guards against requests that are served twice or lost, and capacity that is lost, when messages are. */
    @Test
    fun lostLateAndDuplicateMessagesCostLittle() {
        val load = BurstLoad(46.0) { 1.7 }
        val sound = queued(load)
        val faulty = queued(load, faults = 0.05)
        println("faults 0.05: $faulty")
        assertTrue(faulty.value >= sound.value - 0.03) { "$faulty, without faults $sound" }
        assertTrue(faulty.value >= polling(load).value) { "$faulty" }
    }

    private companion object {
        const val GREEDY_MILLIS = 20_000L
    }
}
