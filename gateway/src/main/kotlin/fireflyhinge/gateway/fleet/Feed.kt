package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FeedAnswer
import fireflyhinge.forward.FeedKind
import fireflyhinge.forward.FeedState
import fireflyhinge.gateway.http.nowMillis
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Keeps this VM's copy of the objects of one kind current: by a watch at the store, or, while the store does not serve
 * this VM, from another VM that has a newer copy.
 *
 * @param onChange called after each change of the copy.
 */
internal class Feed(
    val kind: FeedKind,
    private val store: PlatformStore,
    private val onChange: (FeedState) -> Unit,
) {
    private val log = LoggerFactory.getLogger(javaClass)

    /** The copy. */
    val state = FeedState(RETURN_MILLIS)

    private var failures = 0
    private var troubledAt = Long.MIN_VALUE / 2
    private var behindSince: Long? = null

    /** Revision of the copy. */
    val revision: Long get() = state.revision

    /** Follows the store until cancelled. */
    suspend fun run() {
        var listed = false
        while (true) {
            val answer = if (listed) store.watch(kind, state.revision, WATCH_MILLIS) else store.list(kind)
            when (answer) {
                is FeedAnswer.Listing -> {
                    listed = true
                    regained()
                    if (state.replace(answer.items, answer.revision, doubtful())) changed("store list")
                }
                is FeedAnswer.Changes -> {
                    regained()
                    changes(answer)
                }
                FeedAnswer.HistoryGone -> {
                    listed = false
                    log.atInfo().addKeyValue("kind", kind).log("the store dropped its history; listing anew")
                }
                is FeedAnswer.Unavailable -> lost(answer.reason)
            }
        }
    }

    private suspend fun changes(answer: FeedAnswer.Changes) {
        if (answer.changed.isEmpty() && answer.removed.isEmpty()) return
        val many = answer.removed.size >= MANY_REMOVED
        if (state.apply(answer, doubtful() || many)) changed("store watch")
        // Changes come in bursts; the next watch then returns several at once.
        delay(GATHER_MILLIS)
    }

    private fun changed(source: String) {
        log.atInfo().addKeyValue("kind", kind).addKeyValue("revision", state.revision).addKeyValue("source", source)
            .addKeyValue("objects", state.items().size).log("copy changed")
        onChange(state)
    }

    private fun regained() {
        if (failures > 0) log.atInfo().addKeyValue("kind", kind).log("the store answers again")
        failures = 0
    }

    private suspend fun lost(reason: String) {
        if (failures == 0) log.atWarn().addKeyValue("kind", kind).addKeyValue("reason", reason).log("the store is lost")
        failures++
        troubledAt = nowMillis()
        val pause = minOf(FIRST_PAUSE_MILLIS shl minOf(failures - 1, MAX_DOUBLINGS), LONGEST_PAUSE_MILLIS)
        delay(pause / 2 + Random.nextLong(pause))
    }

    private fun doubtful() = nowMillis() - troubledAt < DOUBT_MILLIS

    /** Drops objects whose absence has become certain. */
    fun settle() {
        if (state.settle()) changed("absence confirmed")
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
        return failures > 0 || state.revision == 0L || nowMillis() - since > WATCH_LAG_MILLIS
    }

    /** Takes over the copy of another VM. */
    fun adopt(listing: FeedAnswer.Listing, vm: String) {
        if (listing.revision <= state.revision) return
        if (state.replace(listing.items, listing.revision, doubtful())) changed("VM $vm")
    }

    private companion object {
        /** Time in which replicas that lost their entry in an outage write it again, with a margin. */
        const val RETURN_MILLIS = 2_200L

        /** Absences after an outage are doubtful for as long as entries take to lapse and come back. */
        const val DOUBT_MILLIS = 6_000L

        /** Entries of this many replicas do not end at once for reasons of their own. */
        const val MANY_REMOVED = 3

        /** A waiting watch is one priced call; silence of its connection is found by keep-alive probes. */
        const val WATCH_MILLIS = 25_000L

        /**
         * Far below the three seconds in which a change must hold. Each watch that returns is a priced call of each VM,
         * and replicas come and go in groups.
         */
        const val GATHER_MILLIS = 600L

        /** Store watches deliver within milliseconds; exchanges between VMs take a second. */
        const val WATCH_LAG_MILLIS = 1_000L

        const val FIRST_PAUSE_MILLIS = 200L
        const val MAX_DOUBLINGS = 3

        /** Below the two seconds in which replicas write their entries again after an outage. */
        const val LONGEST_PAUSE_MILLIS = 1_600L
    }
}
