package fireflyhinge.forward

import fireflyhinge.forward.SlowReaderPolicy.Reader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class SlowReaderPolicyTest {
    private val limits =
        HeldBytesLimits(refuseAt = 600, relieveAt = 800, total = 1_000, perCaller = 100, largeResponses = 0)
    private val policy = SlowReaderPolicy(limits)

    private fun aborted(held: Long, vararg readers: Reader<String>) =
        policy.toAbort(held, readers.toList()).map { it.caller }

    /** Guards against refusals while there is memory, and against requests that are accepted when there is none. */
    @Test
    fun requestsAreRefusedBeforeCallersAreAborted() {
        assertTrue(policy.acceptsRequest(599))
        assertEquals(false, policy.acceptsRequest(600))
        assertEquals(emptyList<String>(), aborted(799, Reader("stalled", 799, 60_000)))
    }

    /** Guards against a healthy caller that is aborted for the bytes of those that do not read. */
    @Test
    fun callersThatStalledLongestAreAbortedFirst() {
        val readers =
            arrayOf(
                Reader("steady", 300, 1_900),
                Reader("stalled", 150, 3_000),
                Reader("longest", 150, 9_000),
                Reader("nothing queued", 0, 99_000),
            )
        assertEquals(listOf("longest"), aborted(900, *readers))
        assertEquals(listOf("longest", "stalled"), aborted(999, *readers))
        assertEquals(listOf("longest", "stalled"), aborted(1_299, *readers))
    }

    /** Guards against memory that runs out because all callers read, but too slowly. */
    @Test
    fun callersThatReadAreAbortedOnlyAtTheTotal() {
        val readers = arrayOf(Reader("a", 100, 10), Reader("b", 100, 400), Reader("c", 100, 400))
        assertEquals(emptyList<String>(), aborted(999, *readers))
        assertEquals(listOf("b"), aborted(1_000, *readers))
        assertEquals(listOf("b", "c"), aborted(1_150, *readers))
    }

    /** Guards against read-ahead that goes on when callers are already being aborted for it. */
    @Test
    fun readAheadShrinksUnderPressure() {
        val large = SlowReaderPolicy(HeldBytesLimits.of(110L shl 20))
        assertTrue(large.readAheadBytes(0) > LONGEST_STREAM_BYTES)
        assertEquals(SlowReaderPolicy.MIN_READ_AHEAD_BYTES, large.readAheadBytes(large.limits.relieveAt))
    }

    /** Guards against limits in the wrong order, or beyond the heap, for any size of VM. */
    @Test
    fun limitsFollowTheHeap() {
        listOf(16L, 64L, 110L, 682L, 8_192L).forEach { megabytes ->
            val heap = megabytes shl 20
            val derived = HeldBytesLimits.of(heap)
            assertTrue(derived.refuseAt < derived.relieveAt && derived.relieveAt < derived.total, "$megabytes MB")
            assertTrue(derived.total <= heap / 2, "$megabytes MB")
            assertTrue(derived.perCaller * 100L < heap, "$megabytes MB")
        }
    }

    /** Guards against an abort that leaves the VM over its total, or that hits more callers than needed. */
    @Test
    fun abortsAreEnoughAndNoMoreThanNeeded() {
        val random = Random(SEED)
        repeat(ROUNDS) { round ->
            val readers = List(random.nextInt(40)) { Reader(it, random.nextLong(1, 100), random.nextLong(0, 6_000)) }
            val held = readers.sumOf { it.queuedBytes } + random.nextLong(600)
            val aborted = policy.toAbort(held, readers)
            val left = held - aborted.sumOf { it.queuedBytes }
            assertTrue(left < limits.total, "seed $SEED, round $round")
            aborted.lastOrNull()?.let { last ->
                assertTrue(left + last.queuedBytes >= limits.relieveAt, "seed $SEED, round $round")
                val kept = readers - aborted.toSet()
                assertTrue(kept.none { it.stalledMillis > last.stalledMillis }, "seed $SEED, round $round")
            }
        }
    }

    private companion object {
        const val LONGEST_STREAM_BYTES = 312_000
        const val SEED = 4
        const val ROUNDS = 500
    }
}
