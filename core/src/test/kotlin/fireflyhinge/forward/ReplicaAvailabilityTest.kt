package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class ReplicaAvailabilityTest {
    private val clock = ManualClock()
    private val table = ReplicaTable(clock)
    private val first = Replica("a", "s", "a:1", "north", ReplicaStage.PLAIN, slots = 4, startedAt = 1)
    private val second = first.copy(id = "b", address = "b:1")

    private fun usable() = table.usable("s", ReplicaStage.PLAIN).map { it.replica.id }

    private fun state(id: String) = table.usable("s", ReplicaStage.PLAIN).first { it.replica.id == id }

    private class Case(val what: String, val usable: Boolean, val list: (Replica) -> List<List<Replica>>)

    /** Guards against requests to a leaving replica after a change of its entry, and against shunning its successor. */
    @Test
    fun leavingEndsOnlyWithTheProcess() {
        listOf(
            Case("the entry stays", usable = false) { listOf(listOf(it)) },
            Case("the entry changes", usable = false) { listOf(listOf(it.copy(slots = 9))) },
            Case("the entry lapses and returns", usable = false) { listOf(emptyList(), listOf(it)) },
            Case("the entry is listed as leaving for a while", usable = false) {
                listOf(listOf(it.copy(leaving = true)), listOf(it))
            },
            Case("a new process has the id", usable = true) { listOf(listOf(it.copy(startedAt = 2))) },
            Case("a new process has the id at another address", usable = true) {
                listOf(listOf(it.copy(address = "c:1")))
            },
            Case("a new process has the id after the entry lapsed", usable = true) {
                listOf(emptyList(), listOf(it.copy(startedAt = 2)))
            },
            Case("a new process has the address", usable = true) { listOf(listOf(it.copy(id = "c"))) },
        ).forEach { case ->
            val own = ReplicaTable(clock)
            own.replace(listOf(first))
            val state = own.usable("s", ReplicaStage.PLAIN).single()
            assertEquals(listOf(true, false), List(2) { state.availability.announceLeaving() }, case.what)
            case.list(first).forEach(own::replace)
            assertEquals(case.usable, own.usable("s", ReplicaStage.PLAIN).isNotEmpty(), case.what)
        }
    }

    /** [requests]: time and duration of each; [millis]: time at which the last backoff ends. */
    private class Backoff(val what: String, val requests: List<Pair<Long, Long>>, val millis: Long)

    /** Guards against ending a requested backoff early, and against one without end. */
    @Test
    fun backoffLastsAsLongAsRequested() {
        listOf(
            Backoff("one request", listOf(0L to 2_000L), 2_000),
            Backoff("a longer one later", listOf(0L to 1_000L, 500L to 2_000L), 2_500),
            Backoff("a shorter one later", listOf(0L to 2_000L, 500L to 100L), 2_000),
            Backoff("no time", listOf(0L to 0L), 0),
            Backoff("a negative time", listOf(0L to -5L), 0),
            Backoff("an absurd time", listOf(0L to Long.MAX_VALUE), ReplicaAvailability.MAX_BACKOFF_MILLIS),
        ).forEach { case ->
            val own = ManualClock()
            val state = ReplicaState(first, own)
            var at = 0L
            case.requests.forEach { (time, millis) ->
                own.advance(time - at)
                at = time
                state.availability.requestBackoff(millis)
            }
            assertEquals(maxOf(0, case.millis - at), state.availability.backoffMillis, case.what)
            state.recordResponse(success = true)
            if (case.millis > at) own.advance(case.millis - at - 1)
            assertEquals(case.millis == 0L, state.accepting, case.what)
            own.advance(1)
            assertEquals(true, state.accepting, case.what)
        }
    }

    /** Guards against a refusal that tells callers to return while no replica accepts requests, or much later. */
    @Test
    fun timeUntilAReplicaAcceptsRequestsFollowsFromTheirBackoffs() {
        table.replace(listOf(first, second))
        assertNull(table.backoffMillis("s", ReplicaStage.PLAIN))
        state("a").availability.requestBackoff(3_000)
        assertEquals(listOf("b"), usable())
        assertNull(table.backoffMillis("s", ReplicaStage.PLAIN), "b accepts requests")
        state("b").availability.requestBackoff(2_000)
        assertEquals(2_000L, table.backoffMillis("s", ReplicaStage.PLAIN))
        table.backingOff("s", ReplicaStage.PLAIN).first { it.replica.id == "b" }.availability.announceLeaving()
        assertEquals(3_000L, table.backoffMillis("s", ReplicaStage.PLAIN), "b does not come back")
        table.replace(listOf(first.copy(leaving = true), second))
        assertNull(table.backoffMillis("s", ReplicaStage.PLAIN), "none comes back")
    }

    /** Guards against unbounded memory for replicas that have left. */
    @Test
    fun statesOfReplicasThatAreGoneAreBounded() {
        repeat(3_000) { number ->
            val replica = first.copy(id = "r$number")
            table.replace(listOf(replica))
            table.usable("s", ReplicaStage.PLAIN).single().availability.announceLeaving()
        }
        table.replace(listOf(first.copy(id = "r2999"), first.copy(id = "r0")))
        assertEquals(listOf("r0"), usable(), "the oldest one is forgotten")
    }
}
