package fireflyhinge.daemon.cell

import fireflyhinge.peer.PlaceReply
import org.jetbrains.lincheck.Lincheck
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.concurrent.thread

class HeldTicketTest {
    private fun ticket(): HeldTicket {
        val placed = PlaceReply.Placed("r/1", 1, "p", "", "d", "")
        return HeldTicket("r", placeRequest("r"), placed, acknowledgedAt = 0)
    }

    /** Guards against a ticket used after the owner may have given its slot on, and one that comes back to life. */
    @Test
    fun validityCountsFromTheSendTimeOfAnAcknowledgedRenewal() {
        fun renewed(sentAt: Long, now: Long) = { t: HeldTicket -> t.onAcknowledged(t.currentUpdate(), sentAt, now) }
        val cases =
            mapOf(
                "never renewed" to ({ _: HeldTicket -> } to 9_900),
                "renewed" to (renewed(sentAt = 500, now = 2_000) to 10_400),
                "answered late" to (renewed(sentAt = 9_800, now = 9_900) to 0),
                "lapsed at the owner" to ({ t: HeldTicket -> t.onExpired() } to 0),
                "released" to ({ t: HeldTicket -> t.release(now = 5) } to 0),
            )
        cases.forEach { (name, case) ->
            val ticket = ticket().also(case.first)
            val validUntil = (0L..11_000 step 100).lastOrNull { ticket.isValid(it) }?.plus(100)?.toInt() ?: 0
            assertEquals(case.second, validUntil, name)
        }
    }

    /** Guards against a renewal that revives a ticket which another thread has released or found expired. */
    @Test
    fun aReleasedTicketStaysReleased() =
        Lincheck.runConcurrentTest(invocations = 500) {
            val ticket = ticket()
            val threads =
                listOf(
                    thread { ticket.onAcknowledged(ticket.currentUpdate(), sentAt = 1, now = 2) },
                    thread { ticket.release(now = 3) },
                    thread { ticket.progress(generatedTokens = 4, prefillDone = true, cachedTokens = 0, now = 4) },
                )
            threads.forEach { it.join() }
            check(!ticket.isValid(5) && ticket.currentUpdate().let { it.released && it.generatedTokens == 4 })
        }
}
