package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CallBackoff
import fireflyhinge.forward.CopyFreshness
import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreObjectCache
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreOutage
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.gateway.repeatForever
import fireflyhinge.time.Stopwatch
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Maintains this VM's copy of the store's objects of one kind: through a watch on the store or, while the store does
 * not serve this VM, from another VM that has a newer copy.
 *
 * @param checksFirst whether this VM is the one that checks the store for the others.
 * @param peers watches other VMs instead of the store where it can.
 * @param onChange called after each change of the copy.
 */
internal class StoreMirror(
    val kind: StoreObjectKind,
    private val store: PlatformStore,
    scope: CoroutineScope,
    checksFirst: () -> Boolean = { true },
    peers: PeerWatch? = null,
    onChange: (StoreObjectCache) -> Unit,
) {
    private val log = LoggerFactory.getLogger(javaClass)

    /** The copy. A configuration has a version of its own, which never goes back. */
    val state = StoreObjectCache(keepsContents = kind != StoreObjectKind.CONFIGURATION)

    private val delivery = CopyDelivery(kind, state, scope, onChange)
    private val outage = StoreOutage(RECOVERY_MILLIS)
    private val freshness = CopyFreshness()
    private val watch = CheckedWatch(kind, store, freshness, checksFirst, peers)
    private val comparison = CopyComparison(freshness)
    private val backoff = CallBackoff()
    private val useless = UselessCalls(backoff)
    private var listed = false

    /** Requests of a new listing because another VM has other objects under the same revision. */
    private val conflicts = Channel<Unit>(Channel.CONFLATED)

    /** All responses that were of no use. */
    val uselessResponses: Long get() = useless.total

    /** Revision of the copy. */
    val revision: Long get() = state.revision

    /** Time since the copy certainly lacked no change; null if it never did. */
    val certainAgeMillis: Long? get() = freshness.certainAgeMillis

    /** State of the copy, for other VMs. */
    val version: CopyVersion
        get() =
            CopyVersion(
                state.revision,
                state.digest,
                freshness.ageMillis,
                state.era,
                freshness.certainAgeMillis,
            )

    /** Watches the store until cancelled. */
    suspend fun run(): Nothing = repeatForever(log, "following $kind") { read() }

    /** The next response of the store; null if the objects should be listed for another reason. */
    private suspend fun nextResponse(): CheckedWatch.Response? {
        if (listed && state.era < store.era.value) awaitListing("the store has another era")
        if (listed && conflicts.tryReceive().isSuccess) awaitListing("another VM has other objects under one revision")
        val call = Stopwatch()
        return when {
            !listed -> CheckedWatch.Response(store.list(kind), call)
            // A watch that blocks does not show whether the store serves this VM again.
            outage.failures > 0 ->
                CheckedWatch.Response(store.watch(kind, state.revision, RECOVERY_WATCH_MILLIS), call)
            // A request of a new listing stays pending.
            else -> watch.await(state.revision, state.era) { conflicts.send(conflicts.receive()) }
        }
    }

    private suspend fun read() {
        val waited = Stopwatch()
        val response = nextResponse() ?: return
        val answer = response.answer
        val served =
            when (answer) {
                is StoreReadResult.Listing, is StoreReadResult.Changes, StoreReadResult.HistoryGone -> true
                is StoreReadResult.PeerCopy, is StoreReadResult.Outdated, is StoreReadResult.Unavailable -> false
            }
        if (served && outage.answered()) log.atInfo().addKeyValue("kind", kind).log("the store answers again")
        when (answer) {
            is StoreReadResult.Listing -> applyListing(answer, response.call)
            is StoreReadResult.PeerCopy -> if (!adopt(answer.listing, answer.vm)) useless.pause()
            is StoreReadResult.Changes -> applyChanges(answer, response.call, waited.elapsedMillis)
            StoreReadResult.HistoryGone -> {
                listed = false
                log.atInfo().addKeyValue("kind", kind).log("no usable history in the store; listing all objects")
                useless.pause()
            }
            is StoreReadResult.Outdated -> {
                log.atInfo().addKeyValue("kind", kind).addKeyValue("reason", answer.reason)
                    .log("discarded an outdated response of the store")
                useless.pause()
            }
            is StoreReadResult.Unavailable -> recordOutage(answer.reason)
        }
    }

    /** Lists the objects next. Many VMs have the same reason at the same time, so each waits for a random time. */
    private suspend fun awaitListing(reason: String) {
        listed = false
        log.atInfo().addKeyValue("kind", kind).addKeyValue("era", store.era.value)
            .addKeyValue("copy_era", state.era).addKeyValue("reason", reason).log("listing all objects")
        delay(Random.nextLong(LISTING_SPREAD_MILLIS))
    }

    private suspend fun applyListing(answer: StoreReadResult.Listing, call: Stopwatch) {
        if (answer.era < store.era.value) return useless.pause()
        listed = true
        if (replace(answer)) {
            freshness.confirm(callMillis = call.elapsedMillis)
            delivery.changed("store list")
        } else {
            log.atInfo().addKeyValue("kind", kind).addKeyValue("revision", answer.revision)
                .addKeyValue("held", state.revision).log("a list of the store is older than the copy; not used")
            useless.pause()
        }
    }

    private fun replace(listing: StoreReadResult.Listing): Boolean =
        state.replace(
            listing.items,
            listing.revision,
            outage.retentionMillis(),
            listing.era,
            if (listing.era > state.era) store.era.precedenceMillis(kind) else 0,
        )

    private suspend fun applyChanges(answer: StoreReadResult.Changes, call: Stopwatch, waitedMillis: Long) {
        if (answer.era != state.era) return useless.pause()
        freshness.confirm(callMillis = call.elapsedMillis)
        if (answer.isEmpty()) {
            // A watch that returns at once without a change would otherwise be repeated at once.
            if (waitedMillis < MIN_WATCH_MILLIS) useless.pause() else useless.reset()
            return
        }
        useless.reset()
        val keep = if (answer.removed.size >= MASS_REMOVAL) RECOVERY_MILLIS else outage.retentionMillis()
        if (state.apply(answer, keep)) delivery.changed("store watch")
        // Changes come in bursts; after a pause, the next watch returns several at once.
        delay(BATCH_MILLIS)
    }

    private suspend fun recordOutage(reason: String) {
        if (outage.failures == 0) {
            log.atWarn().addKeyValue("kind", kind).addKeyValue("reason", reason).log("the store is lost")
        }
        outage.failed()
        delay(backoff.millis(outage.failures))
    }

    /**
     * Compares this copy with that of another VM, whose version was [theirs] at most [callMillis] ago. If they are
     * equal, a confirmation of the other one holds for this one.
     *
     * Returns whether the other copy should be fetched: it is newer, and either the store does not serve this VM or the
     * change has not come from it for a while.
     */
    fun compare(theirs: CopyVersion, callMillis: Long = 0): Boolean {
        store.era.observe(theirs.era, "another VM")
        val action = comparison.compare(version, theirs, callMillis, cutOff = outage.failures > 0)
        if (action == CopyAction.LIST) conflicts.trySend(Unit)
        return action == CopyAction.FETCH && !watch.receiving
    }

    /**
     * Replaces this copy by the [listing] of [vm] if that is newer, or confirmed later if both have one version.
     * Returns whether it did.
     */
    fun adopt(listing: StoreReadResult.Listing, vm: String): Boolean {
        store.era.observe(listing.era, vm)
        val adopted = comparison.adopts(version, CopyVersion(listing.revision, era = listing.era)) && replace(listing)
        if (adopted) delivery.changed("VM $vm")
        return adopted
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

        /** Random delay of a listing that many VMs make for the same reason. */
        const val LISTING_SPREAD_MILLIS = 300L

        /** A watch that waited for this long was not refused. */
        const val MIN_WATCH_MILLIS = 50L
    }
}
