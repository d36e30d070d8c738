package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.StoreReadResult
import fireflyhinge.gateway.http.monotonicMillis
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

class StoreMirrorTest {
    private val scope = CoroutineScope(Dispatchers.Default)
    private val copies = ArrayBlockingQueue<Pair<Long, Set<String>>>(16)
    private val waits = ConcurrentLinkedQueue<Long>()

    @AfterEach
    fun stop() = scope.cancel()

    /** Gives its answers in order, and then none. */
    private inner class ScriptedStore(vararg answers: StoreReadResult) : StubStore() {
        private val left = ArrayDeque(answers.asList())

        private suspend fun next(): StoreReadResult {
            val answer = left.removeFirstOrNull() ?: awaitCancellation()
            return answer.takeIf { it !== UNEXPECTED } ?: throw StackOverflowError("unexpected")
        }

        override suspend fun list(kind: StoreObjectKind): StoreReadResult = next()

        override suspend fun watch(
            kind: StoreObjectKind,
            revision: Long,
            waitMillis: Long,
            onBegin: () -> Unit,
        ): StoreReadResult {
            waits += waitMillis
            return next()
        }
    }

    private fun follow(vararg answers: StoreReadResult): StoreMirror = follow(ScriptedStore(*answers))

    private fun follow(store: PlatformStore): StoreMirror {
        val mirror =
            StoreMirror(StoreObjectKind.REPLICAS, store, scope) {
                copies.add(monotonicMillis() to it.items().keys)
            }
        scope.launch { mirror.run() }
        return mirror
    }

    private fun copy(): Pair<Long, Set<String>> =
        checkNotNull(copies.poll(AWAIT_SECONDS, TimeUnit.SECONDS)) { "no copy" }

    private fun listing(revision: Long, vararg names: String) =
        StoreReadResult.Listing(names.map { StoreItem(it, revision, "{}") }, revision)

    private fun changes(revision: Long, vararg removed: String) =
        StoreReadResult.Changes(emptyList(), removed.toSet(), revision)

    /** Guards against replicas that stay in use because nothing confirms their absence on time. */
    @Test
    fun absentObjectsAreDroppedOnTimeWithoutExchanges() {
        follow(listing(1, "a", "b", "c", "d"), changes(2, "a", "b", "c"))
        assertEquals(setOf("a", "b", "c", "d"), copy().second)
        val (keptAt, kept) = copy()
        assertEquals(setOf("a", "b", "c", "d"), kept)
        val (droppedAt, left) = copy()
        assertEquals(setOf("d"), left)
        assertTrue(droppedAt - keptAt in 2_000..2_700) { "dropped after ${droppedAt - keptAt} ms" }
    }

    /** Guards against a return of the store that is noticed only with the next change, and so doubts it. */
    @Test
    fun theFirstWatchAfterAnOutageReturnsSoon() {
        follow(listing(1, "a"), StoreReadResult.Unavailable("reset"), changes(1), changes(2, "a"))
        repeat(2) { copy() }
        val (first, second, third) = waits.toList()
        assertTrue(second <= 500) { "waits $second ms" }
        assertEquals(first, third)
    }

    /** Guards against a VM that stops to follow the store because of one answer. */
    @Test
    fun theStoreIsFollowedAfterAnUnexpectedFailure() {
        follow(UNEXPECTED, listing(1, "a"), UNEXPECTED, changes(2, "a"))
        assertEquals(setOf("a"), copy().second)
        assertEquals(emptySet<String>(), copy().second)
    }

    /** Guards against a copy that is not in use for good because it could not be used once. */
    @Test
    fun aCopyThatCouldNotBeUsedIsHandedOnAgain() {
        val failing = ArrayDeque(listOf(true, true))
        val mirror =
            StoreMirror(StoreObjectKind.REPLICAS, ScriptedStore(listing(1, "a")), scope) {
                check(failing.removeFirstOrNull() == null) { "unexpected" }
                copies.add(monotonicMillis() to it.items().keys)
            }
        scope.launch { mirror.run() }
        assertEquals(setOf("a"), copy().second)
    }

    /** Guards against a copy that stays old because exchanges with VMs that are as old hide the VM that is not. */
    @Test
    fun aPartnerAsOldAsThisVmDoesNotHideANewerOne() {
        val mirror = follow(listing(1, "a"))
        copy()
        val end = monotonicMillis() + APPLY_MILLIS
        val found =
            generateSequence { mirror.compare(CopyVersion(1)) || mirror.compare(CopyVersion(5)) }
                .onEach { Thread.sleep(EXCHANGE_MILLIS) }
                .takeWhile { monotonicMillis() < end }
                .any { it }
        assertTrue(found) { "no newer copy is fetched within $APPLY_MILLIS ms" }
    }

    /** Guards against a change that is missed because a dead watch looks like one without news. */
    @Test
    fun aChangeIsFoundAlthoughTheWatchIsDead() {
        val store =
            object : PlatformStore by ScriptedStore(listing(1, "a")) {
                override suspend fun watch(
                    kind: StoreObjectKind,
                    revision: Long,
                    waitMillis: Long,
                    onBegin: () -> Unit,
                ): StoreReadResult {
                    delay(waitMillis)
                    return changes(2, "a")
                }
            }
        follow(store)
        assertEquals(setOf("a"), copy().second)
        val changed = copies.poll(APPLY_MILLIS, TimeUnit.MILLISECONDS)
        assertEquals(emptySet<String>(), changed?.second) { "not found within $APPLY_MILLIS ms" }
    }

    /** Guards against store calls of each VM where one is enough, and against a copy that an older one confirms. */
    @Test
    fun onlyAnEqualCopyOfAnotherVmConfirmsThisOne() {
        for ((digest, checked) in listOf(null to false, "other" to true)) {
            waits.clear()
            val mirror = follow(listing(1, "a"))
            copy()
            val end = monotonicMillis() + APPLY_MILLIS
            while (monotonicMillis() < end) {
                mirror.compare(CopyVersion(9, digest ?: mirror.version.digest, ageMillis = 0), callMillis = 50)
                Thread.sleep(EXCHANGE_MILLIS)
            }
            assertEquals(checked, waits.size > 1) { "$waits" }
        }
    }

    private fun listing(era: Long, revision: Long, vararg names: String) =
        StoreReadResult.Listing(names.map { StoreItem(it, revision, "{}") }, revision, era)

    /** Answers lists and watches of its own, and counts them. */
    private inner class CountingStore(
        val lists: (Int) -> StoreReadResult,
        val watches: suspend (Int) -> StoreReadResult,
    ) : PlatformStore by ScriptedStore() {
        override val era = KnownEra()
        val calls = ConcurrentLinkedQueue<Long>()

        override suspend fun list(kind: StoreObjectKind): StoreReadResult {
            calls += monotonicMillis()
            return lists(calls.size)
        }

        override suspend fun watch(
            kind: StoreObjectKind,
            revision: Long,
            waitMillis: Long,
            onBegin: () -> Unit,
        ): StoreReadResult {
            calls += monotonicMillis()
            return watches(calls.size)
        }
    }

    /** Guards against calls without a pause, each of which is billed: 5,598 in 3 s were seen after a restore. */
    @Test
    fun uselessCallsAreRepeatedWithPauses() {
        val cases =
            mapOf<String, Pair<(Int) -> StoreReadResult, suspend (Int) -> StoreReadResult>>(
                "no history, older list" to
                    Pair({ if (it == 1) listing(9, "a") else listing(3, "a") }, { StoreReadResult.HistoryGone }),
                "no history" to Pair({ listing(9, "a") }, { StoreReadResult.HistoryGone }),
                "watch returns at once" to Pair({ listing(9, "a") }, { changes(9) }),
                "outdated" to Pair({ StoreReadResult.Outdated("late") }, { StoreReadResult.Outdated("late") }),
                "watch of another era" to
                    Pair({ listing(9, "a") }, { StoreReadResult.Changes(emptyList(), setOf("a"), 9, era = 7) }),
            )
        val stores = cases.mapValues { CountingStore(it.value.first, it.value.second) }
        stores.values.forEach { follow(it) }
        Thread.sleep(3_000)
        val counts = stores.mapValues { it.value.calls.size }
        assertTrue(counts.values.all { it in 2..20 }) { "$counts" }
    }

    /** Guards against a watch that waits on although the store was restored. */
    @Test
    fun higherEraEndsTheWatch() {
        val store = CountingStore({ if (it == 1) listing(1, 9, "a") else listing(2, 3, "b") }, { awaitCancellation() })
        store.era.observe(1, "store")
        follow(store)
        assertEquals(setOf("a"), copy().second)
        store.era.observe(2, "another VM")
        assertEquals(setOf("a", "b"), copy().second)
        val (_, settled) = copy()
        assertEquals(setOf("b"), settled)
    }

    /** Guards against a late response of the store before its restore that replaces the state after it. */
    @Test
    fun listOfAnOlderEraIsDiscarded() {
        val store = CountingStore({ if (it == 1) listing(1, 9, "a") else listing(2, 3, "b") }, { awaitCancellation() })
        store.era.observe(2, "store")
        follow(store)
        assertEquals(setOf("b"), copy().second)
    }

    /** Guards against a VM that the store does not serve and that keeps the state before a restore. */
    @Test
    fun vmCutOffFromTheStoreAdoptsACopyOfAHigherEra() {
        val store = CountingStore({ StoreReadResult.Unavailable("reset") }, { StoreReadResult.Unavailable("reset") })
        val mirror = follow(store)
        while (store.calls.isEmpty()) Thread.sleep(10)
        Thread.sleep(100)
        mirror.adopt(listing(1, 9, "a"), "vm-2")
        assertEquals(setOf("a"), copy().second)
        assertTrue(mirror.compare(CopyVersion(3, "x", era = 2)))
        mirror.adopt(listing(2, 3, "b"), "vm-2")
        assertEquals(setOf("a", "b"), copy().second)
        mirror.adopt(listing(1, 20, "c"), "vm-3")
        mirror.adopt(listing(20, "c"), "a build without eras")
        assertEquals(CopyVersion(3, mirror.version.digest, mirror.version.ageMillis, era = 2), mirror.version)
        assertEquals(false, mirror.compare(CopyVersion(99)))
    }

    /** Guards against VMs that keep different objects under one revision, and against a listing for each message. */
    @Test
    fun differentObjectsUnderOneRevisionAreListedAgain() {
        val store = CountingStore({ if (it < 3) listing(2, 9, "a") else listing(2, 9, "b") }, { awaitCancellation() })
        store.era.observe(2, "store")
        val mirror = follow(store)
        assertEquals(setOf("a"), copy().second)
        Thread.sleep(100)
        val before = store.calls.size
        repeat(20) {
            mirror.compare(CopyVersion(9, "other", ageMillis = 0, era = 2))
            Thread.sleep(EXCHANGE_MILLIS)
        }
        assertEquals(setOf("b"), copy().second)
        // The listing and the watch after it; checks beside the watch may add two in this time.
        assertTrue(store.calls.size - before in 2..4) { "${store.calls.size - before} calls" }
    }

    /** Guards against a VM without the store that keeps the older of two copies of one revision, or swaps for ever. */
    @Test
    fun cutOffVmTakesTheCopyConfirmedLater() {
        val store = CountingStore({ StoreReadResult.Unavailable("reset") }, { StoreReadResult.Unavailable("reset") })
        val mirror = follow(store)
        while (store.calls.isEmpty()) Thread.sleep(10)
        Thread.sleep(100)
        mirror.adopt(listing(2, 9, "a"), "vm-2")
        copy()
        assertEquals(false, mirror.compare(CopyVersion(9, "other", ageMillis = null, era = 2)))
        mirror.adopt(listing(2, 9, "b"), "vm-3")
        assertEquals(0, copies.size)
        assertTrue(mirror.compare(CopyVersion(9, "other", ageMillis = 5, era = 2)))
        mirror.adopt(listing(2, 9, "b"), "vm-3")
        copy()
        assertEquals(listOf("b"), mirror.state.listing().items.map { it.name })
    }

    private companion object {
        /** Time within which changes must take effect (the platform's `configApplyMs`). */
        const val APPLY_MILLIS = 3_000L
        const val EXCHANGE_MILLIS = 100L
        val UNEXPECTED = StoreReadResult.Unavailable("stands for an error that the store's client does not expect")
        const val AWAIT_SECONDS = 5L
    }
}
