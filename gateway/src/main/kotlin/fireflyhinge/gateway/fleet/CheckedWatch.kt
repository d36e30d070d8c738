package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyFreshness
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select

/**
 * Watches the store's objects of [kind] and checks beside it whether the store still responds: a watch that waits does
 * not distinguish a store without news from a dead connection.
 *
 * @param checksFirst whether this VM is the one that checks for the others.
 */
internal class CheckedWatch(
    private val kind: StoreObjectKind,
    private val store: PlatformStore,
    private val freshness: CopyFreshness,
    private val checksFirst: () -> Boolean,
) {
    /**
     * Waits for changes after [revision] of [era]. Returns the first response with a change or the first failure, of
     * the watch or of a check, or the response without a change that ends the watch. Returns null if a higher era
     * becomes known or [interruption] returns.
     */
    suspend fun await(revision: Long, era: Long, interruption: suspend () -> Unit): StoreReadResult? =
        coroutineScope {
            val reads =
                listOf(
                    async { store.watch(kind, revision, WATCH_MILLIS) },
                    async { check(revision, era) },
                    async { store.era.awaitAbove(era).let { null } },
                    async { interruption().let { null } },
                )
            select { reads.forEach { read -> read.onAwait { it } } }.also { reads.forEach { it.cancel() } }
        }

    /** Asks the store for changes whenever neither it nor another VM has confirmed the copy for a while. */
    private suspend fun check(revision: Long, era: Long): StoreReadResult {
        while (true) {
            awaitDue()
            val answer = store.watch(kind, revision, CHECK_MILLIS)
            if (answer !is StoreReadResult.Changes || !answer.isEmpty() || answer.era != era) return answer
            freshness.confirm()
        }
    }

    private suspend fun awaitDue() {
        while (true) {
            val wait = freshness.millisToCheck(checksFirst())
            if (wait == 0L) return
            delay(wait)
        }
    }

    private companion object {
        /** Long, since each watch is one priced call. */
        const val WATCH_MILLIS = 25_000L

        /** A check returns at once. */
        const val CHECK_MILLIS = 1L
    }
}
