package fireflyhinge.lease

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A fourth VM joins three VMs with a balanced shard map. The order of the VMs determines which one writes first. */
class JoiningBalanceTest {
    private val processes = (1..4).map { ProcessId("vm-$it", incarnation = 1) }
    private val joining = processes.last()

    /** Guards against a joining VM that gets less than its share, in any order in which the others hand shards over. */
    @Test
    fun joiningVmGetsItsShareOfShards() {
        val orders = processes.indices.toList().permutations()
        val owned = orders.associateWith { order -> JoiningRun(order.map(processes::get), joining).owned() }
        println("joining: shards of ${joining.vm} by order of the VMs: $owned")
        assertEquals(emptyMap<List<Int>, List<Int>>(), owned.filterValues { it.size != SHARDS / processes.size })
    }

    private fun List<Int>.permutations(): List<List<Int>> =
        if (isEmpty()) listOf(this) else flatMap { first -> (this - first).permutations().map { listOf(first) + it } }

    private class JoiningRun(private val order: List<ProcessId>, private val joining: ProcessId) {
        private val books = order.associateWith { LeaseStateMachine(it, "perth", SHARDS, startedAt = 0) }
        private var candidates = emptyList<Candidate>()
        private var now = 5 * SECOND
        private var stored =
            InitialShardMap.plan("perth", SHARDS, view(order - joining)).let { VersionedShardMap(1, it) }

        fun owned(): List<Int> {
            order.forEach { books.getValue(it).learn(stored, now) }
            candidates = view(order - joining).candidates
            repeat(200) { pass(it) }
            candidates = view(order).candidates
            repeat(400) { pass(it) }
            return stored.map.shards.indices.filter { stored.map.shards[it].owner == joining }
        }

        private fun view(live: List<ProcessId>) =
            RegionView(live.sortedBy { it.vm }.map { Candidate(it, "domain-${it.vm.last().digitToInt() % 2}") })

        private fun pass(number: Int) {
            now += 100 * MILLI
            val view = RegionView(candidates)
            order.forEach { self ->
                val book = books.getValue(self)
                book.tick(view, storeAvailable = true, now = now)
                book.requests(view, all = number % 10 == 0, now = now).forEach {
                    book.onReply(it, books.getValue(it.to).handle(it.request, now), sentAt = now, now = now)
                }
                book.nextWrite(view, now)?.let { stored = VersionedShardMap(stored.version + 1, it.map) }
                books.values.forEach { it.learn(stored, now) }
            }
        }
    }

    private companion object {
        const val SHARDS = 64
    }
}
