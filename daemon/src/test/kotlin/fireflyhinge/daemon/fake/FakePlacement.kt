package fireflyhinge.daemon.fake

import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.result.Outcome
import fireflyhinge.schedule.PlacementClient
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

/** Places attempt n on the replicas `pn` and `dn`; attempts in [refusals] are refused. */
class FakePlacement : PlacementClient {
    val placed = CopyOnWriteArrayList<PlaceRequest>()
    val released = CopyOnWriteArrayList<String>()
    val prefillDone = CopyOnWriteArrayList<String>()
    val expired: MutableSet<String> = ConcurrentHashMap.newKeySet()
    val refusals = ConcurrentHashMap<Int, Outcome.Failure>()

    /** Called while a request waits for its placement. */
    var waiting: (abandoned: () -> Boolean) -> Unit = {}

    override fun place(request: PlaceRequest, abandoned: () -> Boolean): Outcome<PlaceReply.Placed> {
        placed.add(request)
        waiting(abandoned)
        val n = request.attempt
        return refusals[n] ?: Outcome.Success(PlaceReply.Placed("ticket$n", 1, "p$n", "p$n:1", "d$n", "d$n:1"))
    }

    override fun progress(ticket: String, generatedTokens: Int, prefillDone: Boolean, cachedTokens: Int?) {
        if (generatedTokens == 0 && prefillDone) this.prefillDone.add(ticket)
    }

    override fun isValid(ticket: String): Boolean = ticket !in expired

    override fun release(ticket: String) {
        released.add(ticket)
    }
}
