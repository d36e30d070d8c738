package fireflyhinge.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory

class BackgroundTasksTest {
    private val log = LoggerFactory.getLogger(javaClass)

    /** Guards against a loop that ends for good because of one failed step. */
    @Test
    fun aLoopOutlivesItsFailures() = runBlocking {
        val failures =
            ArrayDeque(
                listOf(
                    IllegalStateException("unexpected"),
                    StackOverflowError("unexpected"),
                    CancellationException("of something that the step waited for"),
                ),
            )
        val steps = Channel<Int>(Channel.UNLIMITED)
        val loop =
            launch(Dispatchers.Default) {
                repeatForever(log, "test") {
                    failures.removeFirstOrNull()?.let { throw it }
                    steps.send(1)
                    delay(1)
                }
            }
        withTimeout(MOST_MILLIS) { repeat(2) { steps.receive() } }
        loop.cancelAndJoin()
        assertEquals(0, failures.size)
    }

    /** Guards against a task that goes on after it was cancelled. */
    @Test
    fun aCancelledLoopEnds() = runBlocking {
        val loop = launch(Dispatchers.Default) { repeatForever(log, "test") { delay(MOST_MILLIS) } }
        delay(1)
        withTimeout(MOST_MILLIS) { loop.cancelAndJoin() }
        assertTrue(loop.isCancelled)
    }

    private companion object {
        const val MOST_MILLIS = 10_000L
    }
}
