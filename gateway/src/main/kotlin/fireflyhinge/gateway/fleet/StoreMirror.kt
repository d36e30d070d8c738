package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectCache
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreOutage
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.gateway.FAILURE_PAUSE_MILLIS
import fireflyhinge.gateway.http.nowMillis
import fireflyhinge.gateway.repeatForever
import fireflyhinge.gateway.retryUntilSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Keeps this VM's copy of the objects of one kind current: by a watch at the store, or, while the store does not serve
 * this VM, from another VM that has a newer copy.
 *
 * @param onChange called after each change of the copy.
 */
internal class StoreMirror(
    val kind: StoreObjectKind,
    private val store: PlatformStore,
    private val scope: CoroutineScope,
    private val onChange: (StoreObjectCache) -> Unit,
) {
    private val log = LoggerFactory.getLogger(javaClass)

    /** The copy. */
    val state = StoreObjectCache()

    private val outage = StoreOutage(RETURN_MILLIS)
    private var behindSince: Long? = null
    private var listed = false
    private var handingOn: Job? = null

    /** Revision of the copy. */
    val revision: Long get() = state.revision

    /** Follows the store until cancelled. */
    suspend fun run(): Nothing = repeatForever(log, "following $kind") { read() }

    private suspend fun read() {
        // A watch that waits does not tell whether the store serves this VM again.
        val wait = if (outage.failures > 0) RETURN_WATCH_MILLIS else WATCH_MILLIS
        val answer = if (listed) store.watch(kind, state.revision, wait) else store.list(kind)
        if (answer !is StoreReadResult.Unavailable) regained()
        when (answer) {
            is StoreReadResult.Listing -> {
                listed = true
                if (state.replace(answer.items, answer.revision, outage.retentionMillis())) changed("store list")
            }
            is StoreReadResult.Changes -> changes(answer)
            StoreReadResult.HistoryGone -> {
                listed = false
                log.atInfo().addKeyValue("kind", kind).log("the store has no usable history; listing anew")
            }
            is StoreReadResult.Unavailable -> lost(answer.reason)
        }
    }

    private suspend fun changes(answer: StoreReadResult.Changes) {
        if (answer.changed.isEmpty() && answer.removed.isEmpty()) return
        val keep = if (answer.removed.size >= MANY_REMOVED) RETURN_MILLIS else outage.retentionMillis()
        if (state.apply(answer, keep)) changed("store watch")
        // Changes come in bursts; the next watch then returns several at once.
        delay(GATHER_MILLIS)
    }

    private fun changed(source: String) {
        log.atInfo().addKeyValue("kind", kind).addKeyValue("revision", state.revision).addKeyValue("source", source)
            .addKeyValue("objects", state.items().size).log("copy changed")
        handOn()
        if (state.millisToNextEviction() != null) scope.launch { retryUntilSuccess(log, "settling $kind") { settle() } }
    }

    /** A copy that could not be used once is handed on again, though nothing changes in it. */
    @Suppress("TooGenericExceptionCaught") // The store is followed whatever the user of the copy throws.
    private fun handOn() {
        try {
            onChange(state)
        } catch (e: Throwable) {
            log.atError().setCause(e).addKeyValue("kind", kind).log("the copy could not be used")
            if (handingOn?.isActive == true) return
            handingOn =
                scope.launch {
                    delay(FAILURE_PAUSE_MILLIS)
                    retryUntilSuccess(log, "using $kind") { onChange(state) }
                }
        }
    }

    /** Drops objects when their absence has become certain. */
    private suspend fun settle() {
        while (true) {
            delay(state.millisToNextEviction() ?: return)
            if (state.evictExpired()) return changed("absence confirmed")
        }
    }

    private fun regained() {
        if (outage.answered()) log.atInfo().addKeyValue("kind", kind).log("the store answers again")
    }

    private suspend fun lost(reason: String) {
        if (outage.failures == 0) {
            log.atWarn().addKeyValue("kind", kind).addKeyValue("reason", reason).log("the store is lost")
        }
        outage.failed()
        val doublings = minOf(outage.failures - 1, MAX_DOUBLINGS)
        val pause = minOf(FIRST_PAUSE_MILLIS shl doublings, LONGEST_PAUSE_MILLIS)
        delay(pause / 2 + Random.nextLong(pause))
    }

    /**
     * Another VM has [theirs]. Returns whether its copy should be fetched: if the store does not serve this VM, or
     * this VM's watch has shown nothing newer for a while, which a silent connection would explain.
     */
    fun behind(theirs: Long): Boolean {
        if (theirs <= state.revision) {
            behindSince = null
            return false
        }
        val since = behindSince ?: nowMillis().also { behindSince = it }
        return outage.failures > 0 || state.revision == 0L || nowMillis() - since > WATCH_LAG_MILLIS
    }

    /** Takes over the copy of another VM. */
    fun adopt(listing: StoreReadResult.Listing, vm: String) {
        if (listing.revision <= state.revision) return
        if (state.replace(listing.items, listing.revision, outage.retentionMillis())) changed("VM $vm")
    }

    private companion object {
        /** Time in which replicas that lost their entry in an outage write it again, with a margin. */
        const val RETURN_MILLIS = 2_200L

        /** Entries of this many replicas do not end at once for reasons of their own. */
        const val MANY_REMOVED = 3

        /** A waiting watch is one priced call; silence of its connection is found by keep-alive probes. */
        const val WATCH_MILLIS = 25_000L

        /** The first watch after an outage returns soon, since it tells that the store is back. */
        const val RETURN_WATCH_MILLIS = 100L

        /**
         * Far below the three seconds in which a change must hold. Each watch that returns is a priced call of each VM,
         * and replicas come and go in groups.
         */
        const val GATHER_MILLIS = 600L

        /** Store watches deliver within milliseconds; exchanges between VMs take a second. */
        const val WATCH_LAG_MILLIS = 1_000L

        const val FIRST_PAUSE_MILLIS = 200L
        const val MAX_DOUBLINGS = 3

        /**
         * With half of it again, the wait of a watch and [RETURN_MILLIS] it is less than the platform's `contactMs`,
         * 4 s after an outage, from which on removals must hold.
         */
        const val LONGEST_PAUSE_MILLIS = 1_000L
    }
}
