package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyFreshness
import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreObjectCache
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreOutage
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.gateway.FAILURE_BACKOFF_MILLIS
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.gateway.repeatForever
import fireflyhinge.gateway.retryUntilSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Maintains this VM's copy of the store's objects of one kind: through a watch on the store or, while the store does
 * not serve this VM, from another VM that has a newer copy.
 *
 * @param checksFirst whether this VM is the one that checks the store for the others.
 * @param onChange called after each change of the copy.
 */
internal class StoreMirror(
    val kind: StoreObjectKind,
    private val store: PlatformStore,
    private val scope: CoroutineScope,
    checksFirst: () -> Boolean = { true },
    private val onChange: (StoreObjectCache) -> Unit,
) {
    private val log = LoggerFactory.getLogger(javaClass)

    /** The copy. */
    val state = StoreObjectCache()

    private val outage = StoreOutage(RECOVERY_MILLIS)
    private val freshness = CopyFreshness()
    private val watch = CheckedWatch(kind, store, freshness, checksFirst)

    /** If larger than [revision]: a revision of another VM's copy that this copy has yet to reach. */
    private var newerRevision = 0L
    private var newerSince = 0L
    private var listed = false
    private var redelivery: Job? = null

    /** Revision of the copy. */
    val revision: Long get() = state.revision

    /** State of the copy, for other VMs. */
    val version: CopyVersion get() = CopyVersion(state.revision, state.digest, freshness.ageMillis)

    /** Watches the store until cancelled. */
    suspend fun run(): Nothing = repeatForever(log, "following $kind") { read() }

    private suspend fun read() {
        val answer =
            when {
                !listed -> store.list(kind)
                // A watch that blocks does not show whether the store serves this VM again.
                outage.failures > 0 -> store.watch(kind, state.revision, RECOVERY_WATCH_MILLIS)
                else -> watch.await(state.revision)
            }
        if (answer !is StoreReadResult.Unavailable) recordRecovery()
        when (answer) {
            is StoreReadResult.Listing -> {
                listed = true
                freshness.confirm()
                if (state.replace(answer.items, answer.revision, outage.retentionMillis())) changed("store list")
            }
            is StoreReadResult.Changes -> applyChanges(answer)
            StoreReadResult.HistoryGone -> {
                listed = false
                log.atInfo().addKeyValue("kind", kind).log("no usable history in the store; listing all objects")
            }
            is StoreReadResult.Unavailable -> recordOutage(answer.reason)
        }
    }

    private suspend fun applyChanges(answer: StoreReadResult.Changes) {
        freshness.confirm()
        if (answer.isEmpty()) return
        val keep = if (answer.removed.size >= MASS_REMOVAL) RECOVERY_MILLIS else outage.retentionMillis()
        if (state.apply(answer, keep)) changed("store watch")
        // Changes come in bursts; after a pause, the next watch returns several at once.
        delay(BATCH_MILLIS)
    }

    private fun changed(source: String) {
        log.atInfo().addKeyValue("kind", kind).addKeyValue("revision", state.revision).addKeyValue("source", source)
            .addKeyValue("objects", state.items().size).log("copy changed")
        deliver()
        if (state.millisToNextEviction() != null) scope.launch { retryUntilSuccess(log, "settling $kind") { settle() } }
    }

    /** Passes the copy to [onChange]. If that fails, it is retried even if the copy does not change again. */
    @Suppress("TooGenericExceptionCaught") // The watch must continue whatever the callback throws.
    private fun deliver() {
        try {
            onChange(state)
        } catch (e: Throwable) {
            log.atError().setCause(e).addKeyValue("kind", kind).log("the copy could not be used")
            if (redelivery?.isActive == true) return
            redelivery =
                scope.launch {
                    delay(FAILURE_BACKOFF_MILLIS)
                    retryUntilSuccess(log, "using $kind") { onChange(state) }
                }
        }
    }

    /** Drops removed objects once their absence is confirmed. */
    private suspend fun settle() {
        while (true) {
            delay(state.millisToNextEviction() ?: return)
            if (state.evictExpired()) return changed("absence confirmed")
        }
    }

    private fun recordRecovery() {
        if (outage.answered()) log.atInfo().addKeyValue("kind", kind).log("the store answers again")
    }

    private suspend fun recordOutage(reason: String) {
        if (outage.failures == 0) {
            log.atWarn().addKeyValue("kind", kind).addKeyValue("reason", reason).log("the store is lost")
        }
        outage.failed()
        val doublings = minOf(outage.failures - 1, MAX_BACKOFF_DOUBLINGS)
        val backoff = minOf(FIRST_BACKOFF_MILLIS shl doublings, MAX_BACKOFF_MILLIS)
        delay(backoff / 2 + Random.nextLong(backoff))
    }

    /**
     * Compares this copy with that of another VM, whose version was [theirs] at most [callMillis] ago. If they are
     * equal, a confirmation of the other one holds for this one.
     *
     * Returns whether the other copy should be fetched: it is newer, and either the store does not serve this VM or the
     * change has not come from it for a while.
     */
    fun compare(theirs: CopyVersion, callMillis: Long = 0): Boolean {
        if (state.digest.isNotEmpty() && theirs.digest == state.digest) {
            theirs.ageMillis?.let { freshness.confirm(it + callMillis) }
            return false
        }
        if (theirs.revision <= state.revision) return false
        if (newerRevision <= state.revision) {
            newerRevision = theirs.revision
            newerSince = monotonicMillis()
        }
        return outage.failures > 0 || state.revision == 0L || monotonicMillis() - newerSince > WATCH_LAG_MILLIS
    }

    /** Replaces this copy by the [listing] of [vm] if that is newer. */
    fun adopt(listing: StoreReadResult.Listing, vm: String) {
        if (listing.revision <= state.revision) return
        if (state.replace(listing.items, listing.revision, outage.retentionMillis())) changed("VM $vm")
    }

    private companion object {
        /** Time within which replicas rewrite an entry that was lost in an outage, with a margin. */
        const val RECOVERY_MILLIS = 2_200L

        /** This many entries removed at once suggest a fault of the store, not of the replicas. */
        const val MASS_REMOVAL = 3

        /** Short, since the first watch that returns after an outage shows that the store is back. */
        const val RECOVERY_WATCH_MILLIS = 100L

        /**
         * Far below the 3 s within which a change must take effect. Each watch that returns is a priced call on each
         * VM, and replicas come and go in groups.
         */
        const val BATCH_MILLIS = 600L

        /** Store watches deliver within milliseconds, gossip takes about a second. */
        const val WATCH_LAG_MILLIS = 1_000L

        const val FIRST_BACKOFF_MILLIS = 200L
        const val MAX_BACKOFF_DOUBLINGS = 3

        /**
         * 1.5 times this, [RECOVERY_WATCH_MILLIS] and [RECOVERY_MILLIS] together are less than the platform's
         * `contactMs`: removals must take effect from 4 s after an outage. A call that a silent store lost may take 1 s
         * more, which is within `drainMs`.
         */
        const val MAX_BACKOFF_MILLIS = 1_000L
    }
}
