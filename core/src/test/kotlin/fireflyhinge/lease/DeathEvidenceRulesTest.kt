package fireflyhinge.lease

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

/** Tests the rules about death evidence with one shard: its owner vm1, its successor vm2 and a third process vm3. */
class DeathEvidenceRulesTest {
    private val owner = ProcessId("vm1", 1)
    private val second = ProcessId("vm2", 1)
    private val third = ProcessId("vm3", 1)
    private val books =
        listOf(owner, second, third).associateWith { LeaseStateMachine(it, "perth", shardCount = 1, startedAt = 0) }
    private val first = ShardEntry(owner = owner, successor = second, epoch = 1, ownerEpoch = 1)
    private var now = 0L

    /** Lets the owner renew its lease for 12 s. */
    private fun renewLease(entry: ShardEntry = first) {
        books.values.forEach { it.learn(map(1, entry), now) }
        repeat(120) { pass() }
    }

    private fun map(version: Long, entry: ShardEntry) = VersionedShardMap(version, ShardMap("perth", listOf(entry)))

    private fun book(process: ProcessId) = books.getValue(process)

    private fun acts(process: ProcessId) = book(process).actingEpoch(0, now)

    /**
     * Simulates 100 ms. The processes in [alive] run and, if [linked], reach each other. The processes in [store] reach
     * the store.
     */
    private fun pass(
        alive: Set<ProcessId> = books.keys,
        linked: Boolean = true,
        store: Set<ProcessId> = emptySet(),
        dead: Map<ProcessId, Long> = emptyMap(),
        renewals: Boolean = true,
    ) {
        now += 100 * MILLI
        alive.forEach { from ->
            book(from).tick(view(dead), storeAvailable = from in store, now = now)
            book(from).requests(view(dead), all = renewals, now = now).filter { linked && it.to in alive }.forEach {
                book(from).onReply(it, book(it.to).handle(it.request, now), sentAt = now, now = now)
            }
        }
    }

    private fun view(dead: Map<ProcessId, Long>) =
        RegionView((books.keys - dead.keys).map { Candidate(it, it.vm) }, deadBy = dead::get)

    /**
     * Guards against two acting owners. vm1 hands the shard over to vm2, which is partitioned from the store and vm3
     * and does not learn of it. vm2 then acts on evidence of vm1's death, so vm3, its new successor, must not take over
     * before vm2 has released the shard.
     */
    @Test
    fun ownerUnawareOfHandOverMustReleaseBeforeTakeover() {
        renewLease()
        val dead = mapOf(owner to now)
        book(third).learn(map(2, first.handedTo(next = second, successor = third)), now)
        repeat(100) { pass(alive = setOf(second, third), linked = false, store = setOf(third), dead = dead) }
        assertEquals(2, acts(second), "vm2 acts on evidence")
        assertNull(book(third).nextWrite(view(dead), now), "vm2 has not given up its right")
        repeat(2) { pass(alive = setOf(second, third), store = setOf(third), dead = dead) }
        assertNull(acts(second), "vm2 has answered vm3")
        assertNotNull(book(third).nextWrite(view(dead), now))
    }

    /**
     * Guards against an owner that acts without a promise although its successor may have taken over, and against one
     * that stops although its successor died in time.
     */
    @Test
    fun lateEvidenceCountsIfSuccessorDiedBeforeLeaseEnd() {
        data class Case(val diedAfter: Long, val acts: Boolean)
        val cases = listOf(Case(3_900, acts = true), Case(4_000, acts = false))
        cases.forEach { case ->
            val run = DeathEvidenceRulesTest()
            run.renewLease()
            val renewed = run.now
            repeat(100) { run.pass(alive = setOf(owner)) }
            assertNull(run.acts(owner), "the lease has ended")
            run.pass(alive = setOf(owner), dead = mapOf(second to renewed + case.diedAfter * MILLI))
            assertEquals(case.acts, run.acts(owner) != null, "$case")
        }
    }

    /** Guards against a successor that waits for the end of its promise although the owner is certainly dead. */
    @Test
    fun evidenceEndsThePromise() {
        data class Case(val store: Set<ProcessId>, val acts: Long?, val writes: Boolean)
        val cases =
            listOf(
                Case(store = emptySet(), acts = 2, writes = true),
                Case(store = setOf(second), acts = null, writes = true),
            )
        cases.forEach { case ->
            val run = DeathEvidenceRulesTest()
            run.renewLease()
            val died = run.now
            run.pass(alive = setOf(second, third))
            assertNull(run.book(second).nextWrite(run.view(emptyMap()), run.now), "missing renewals end nothing")
            val dead = mapOf(owner to died)
            run.pass(alive = setOf(second, third), store = case.store, dead = dead)
            assertEquals(case.acts, run.acts(second), "$case")
            val write = run.book(second).nextWrite(run.view(dead), run.now)
            assertEquals(case.writes, write != null, "$case")
            run.book(second).learn(VersionedShardMap(2, checkNotNull(write).map), run.now)
            run.book(third).learn(VersionedShardMap(2, write.map), run.now)
            run.pass(alive = setOf(second, third), store = setOf(second), dead = dead)
            assertEquals(2, run.acts(second), "$case")
        }
    }

    /**
     * Guards against quota floors that are applied twice, after a replaced successor has acted on evidence before
     * another process takes over.
     */
    @Test
    fun takeoverSkipsAnEpochIfReplacedSuccessorMayHaveActed() {
        data class Case(val former: List<ProcessId>, val epoch: Long)
        val cases = listOf(Case(former = emptyList(), epoch = 3), Case(former = listOf(third), epoch = 4))
        cases.forEach { case ->
            val run = DeathEvidenceRulesTest()
            run.books.values.forEach { it.learn(run.map(1, first.copy(epoch = 2, former = case.former)), run.now) }
            repeat(50) { run.pass() }
            val dead = mapOf(owner to run.now, third to run.now)
            run.pass(alive = setOf(second), store = setOf(second), dead = dead)
            val write = run.book(second).nextWrite(run.view(dead), run.now)
            assertEquals(case.epoch, write?.changes?.getValue(0)?.epoch, "$case")
        }
    }

    /**
     * Guards against a shard without an owner for a whole outage of the store, when its owner dies after the hand-over
     * and before its next regular renewal.
     */
    @Test
    fun successorTakesOverWithoutStoreSoonAfterHandOver() {
        renewLease()
        val handed = first.handedTo(next = second, successor = third)
        books.values.forEach { it.learn(map(2, handed), now) }
        repeat(3) { pass(renewals = false) }
        assertEquals(2, acts(second), "the new owner has its promise")
        val dead = mapOf(second to now)
        repeat(3) { pass(alive = setOf(owner, third), dead = dead) }
        assertEquals(3, acts(third), "its successor acts on evidence")
    }
}
