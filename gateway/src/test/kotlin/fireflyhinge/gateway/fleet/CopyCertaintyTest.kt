package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class CopyCertaintyTest {
    private val scope = CoroutineScope(Dispatchers.Default)

    @AfterEach
    fun stop() = scope.cancel()

    /** Answers the first watch late. */
    private class LateStore : StubStore() {
        override suspend fun list(kind: StoreObjectKind) =
            StoreReadResult.Listing(listOf(StoreItem("a", 1, "{}")), revision = 1)

        override suspend fun watch(
            kind: StoreObjectKind,
            revision: Long,
            waitMillis: Long,
            onBegin: () -> Unit,
        ): StoreReadResult {
            if (revision > 1) awaitCancellation()
            delay(LATE_MILLIS)
            return StoreReadResult.Changes(emptyList(), setOf("a"), revision = 2)
        }
    }

    /** Guards against a response that was long on its way, or waited in a frozen VM, and passes for a recent one. */
    @Test
    fun aCopyIsCertainAsOfTheCallThatConfirmsIt() {
        val changes = CountDownLatch(2)
        val mirror = StoreMirror(StoreObjectKind.REPLICAS, LateStore(), scope) { changes.countDown() }
        scope.launch { mirror.run() }
        assertTrue(changes.await(2 * LATE_MILLIS, TimeUnit.MILLISECONDS))
        val age = checkNotNull(mirror.certainAgeMillis)
        assertTrue(age >= LATE_MILLIS) { "$age ms" }
    }

    /** Guards against a VM that confirms the copy of another one later than the store confirmed its own. */
    @Test
    fun aConfirmationOfAnotherVmIsAsOldAsItsCall() {
        val changes = CountDownLatch(2)
        val late = StoreMirror(StoreObjectKind.REPLICAS, LateStore(), scope) { changes.countDown() }
        val mirror = StoreMirror(StoreObjectKind.REPLICAS, StubStore(), scope) {}
        scope.launch { late.run() }
        assertTrue(changes.await(2 * LATE_MILLIS, TimeUnit.MILLISECONDS))
        mirror.adopt(late.state.listing(), "late")
        mirror.compare(late.version)
        val age = checkNotNull(mirror.certainAgeMillis)
        assertTrue(age >= LATE_MILLIS) { "$age ms" }
    }

    private companion object {
        const val LATE_MILLIS = 3_000L
    }
}
