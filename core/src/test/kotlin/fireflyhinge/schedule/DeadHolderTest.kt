package fireflyhinge.schedule

import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.Holder
import fireflyhinge.peer.PlaceReply
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DeadHolderTest {
    private val dead = mutableSetOf<Holder>()

    /** Guards against slots that stay occupied until the ticket expires although its holder is known to be dead. */
    @Test
    fun ticketsOfADeadHolderEndAtOnce() {
        val cell = cell()
        val placed = listOf("vm-1", "vm-2").map { cell.place(it) }
        dead += Holder("vm-1", 1)
        (0L..500L step 100).forEach { cell.processDue(OPEN + it) }
        assertEquals(setOf("DECODE-1"), cell.replicasToList, "replicas to list at once")
        val held = listOf("vm-1", "vm-2").map(::held)
        assertEquals(listOf("vm-1"), cell.reconcile("DECODE-1", held, OPEN + 500).map { it.id.request })
        assertEquals(listOf(true, false), placed.map { cell.ended(it) })
    }

    /** Guards against a new owner that keeps orphans for 10 s in spite of the evidence that their holder is dead. */
    @Test
    fun requestsWithUnknownTicketsAreCancelledOnceTheirHolderIsDead() {
        val cell = cell()
        val held = listOf("vm-1", "vm-2").map(::held)
        assertEquals(emptyList<Cancellation>(), cell.reconcile("DECODE-1", held, OPEN))
        assertEquals(emptySet<String>(), cell.replicasToList)
        dead += Holder("vm-1", 1)
        assertEquals(setOf("DECODE-1"), cell.replicasToList, "replicas to list at once")
        assertEquals(listOf("vm-1"), cell.reconcile("DECODE-1", held, OPEN + 100).map { it.id.request })
    }

    private fun cell() =
        Cell(epoch = 1, startedAt = 0, isDead = { it in dead }).also { cell ->
            val decode = upstreams(UpstreamRole.DECODE, 1, slots = 4)
            cell.configure(upstreams(UpstreamRole.PREFILL, 1) + decode, emptyMap())
            cell.reconcile("DECODE-1", emptyList(), now = 0)
            (0L..OPEN step 100).forEach(cell::processDue)
        }

    private fun requestOf(vm: String) = request(vm).copy(holder = Holder(vm, 1))

    private fun Cell.place(vm: String): PlaceReply.Placed =
        (requestPlacement(requestOf(vm), OPEN) ?: processDue(OPEN).getValue("$vm/1")) as PlaceReply.Placed

    private fun Cell.ended(placed: PlaceReply.Placed) = renew(placed.ticket, 0, OPEN + 500) == RenewalResult.EXPIRED

    private fun held(vm: String) =
        HeldRequest(EngineRequestId(vm, attempt = 1), holder = Holder(vm, 1), ticket = "$vm/1", ageMillis = 100)
}
