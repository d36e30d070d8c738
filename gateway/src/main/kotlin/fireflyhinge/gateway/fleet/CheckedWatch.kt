package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyFreshness
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.time.Stopwatch
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Watches the store's objects of [kind] and checks beside it whether the store still responds: a watch that waits does
 * not distinguish a store without news from a dead connection.
 *
 * @param checksFirst whether this VM is the one that checks for the others.
 * @param peers watches other VMs instead of the store where it can.
 */
internal class CheckedWatch(
    private val kind: StoreObjectKind,
    private val store: PlatformStore,
    private val freshness: CopyFreshness,
    private val checksFirst: () -> Boolean,
    private val peers: PeerWatch? = null,
) {
    /** A response, and the [call] that it answers. */
    class Response(val answer: StoreReadResult, val call: Stopwatch)

    /** Whether a response to the watch is arriving. */
    @Volatile
    var receiving = false
        private set

    /**
     * Waits for changes after [revision] of [era]. Returns the first response with a change or the first failure, of
     * the watch or of a check, or the response without a change that ends the watch. Once a response to the watch
     * arrives, it is awaited, since the response to a check would have the same content. Returns null if a higher era
     * becomes known or [interruption] returns.
     */
    suspend fun await(revision: Long, era: Long, interruption: suspend () -> Unit): Response? =
        coroutineScope {
            val reads =
                listOf(
                    async { change(revision, era) },
                    async { check(revision, era) },
                    async { store.era.awaitAbove(era).let { null } },
                    async { interruption().let { null } },
                )
            try {
                select { reads.forEach { read -> read.onAwait { it } } }
            } finally {
                reads.forEach { it.cancel() }
                receiving = false
            }
        }

    private suspend fun change(revision: Long, era: Long): Response {
        val copy = peers?.await(kind, revision, era)
        val call = Stopwatch()
        return Response(copy ?: store.watch(kind, revision, WATCH_MILLIS) { receiving = true }, call)
    }

    /**
     * Asks the store for changes whenever neither it nor another VM has confirmed the copy for a while, or if another
     * VM has a newer one.
     */
    private suspend fun check(revision: Long, era: Long): Response {
        while (true) {
            awaitDue()
            if (receiving) awaitCancellation()
            val call = Stopwatch()
            val answer = store.watch(kind, revision, CHECK_MILLIS)
            if (receiving && answer is StoreReadResult.Unavailable) awaitCancellation()
            if (answer is StoreReadResult.Changes && !answer.isEmpty()) peers?.missed()
            val unchanged = answer is StoreReadResult.Changes && answer.isEmpty() && answer.era == era
            if (!unchanged) return Response(answer, call)
            freshness.confirm(callMillis = call.elapsedMillis)
        }
    }

    private suspend fun awaitDue() {
        while (true) {
            val wait = freshness.millisToCheck(checksFirst())
            if (wait == 0L || withTimeoutOrNull(wait) { awaitNewerCopy() } != null) return
        }
    }

    private suspend fun awaitNewerCopy() = peers?.awaitNewer() ?: awaitCancellation()

    private companion object {
        /** Long, since each watch is one priced call. */
        const val WATCH_MILLIS = 25_000L

        /** A check returns at once. */
        const val CHECK_MILLIS = 1L
    }
}
