package fireflyhinge.daemon.cell

import fireflyhinge.peer.PlaceReply
import fireflyhinge.peer.PlaceRequest
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.schedule.RefusalReason
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/** One call of [PeerPlacementClient.place]: asks the owners of [cells] in turn until one answers or time is up. */
internal class PlacementAttempt(
    private val request: PlaceRequest,
    private val cells: List<CellAddress>,
    private val router: OwnerRouter,
    private val keeper: TicketKeeper,
    private val clock: MonotonicClock,
    private val executor: Executor,
) {
    private val patience = clock.millis() + OWNER_PATIENCE_MILLIS
    private var deadline = clock.millis() + request.maxWaitMillis
    private var failures = 0
    private var next = 0
    private var queued = false
    private var refusal: PlaceReply.Refused? = null

    /** The placement and the cell that gave it, or why there is none. */
    fun run(abandoned: () -> Boolean): Outcome<HeldPlacement> {
        while (next < cells.size) {
            val address = cells[next]
            // The owner refuses at the request's limit. It is given longer, as it places nothing just after a takeover.
            if (clock.millis() > maxOf(deadline, patience)) break
            val remaining = maxOf(1, deadline - clock.millis())
            val sentAt = clock.millis()
            val future = router.place(address, request.copy(maxWaitMillis = remaining), failures, executor)
            val reply = await(address, future, sentAt + ASK_AGAIN_MILLIS, abandoned)
            if (abandoned()) return withdrawn(address)
            if (reply is PlaceReply.Placed) return Outcome.Success(hold(address, reply, sentAt))
            handle(address, reply)
        }
        cells.getOrNull(next)?.let(::withdraw)
        return refused()
    }

    private fun handle(address: CellAddress, reply: PlaceReply?) {
        when (reply) {
            is PlaceReply.Refused -> {
                refusal = reply
                if (reply.reason in ELSEWHERE) next++ else next = cells.size
            }
            is PlaceReply.Waiting -> {
                queued = true
                failures = 0
            }
            else -> failed(address)
        }
    }

    /** No owner answered: it is asked again soon, and another region after some failures. */
    private fun failed(address: CellAddress) {
        failures++
        // During a takeover a late placement is better than a refusal.
        deadline = maxOf(deadline, minOf(clock.millis() + request.maxWaitMillis, patience))
        if (failures % FAILURES_PER_REGION == 0 && next + 1 < cells.size) {
            withdraw(address)
            next++
        } else {
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun await(
        address: CellAddress,
        future: CompletableFuture<PlaceReply?>,
        askAgainAt: Long,
        abandoned: () -> Boolean,
    ): PlaceReply? {
        while (!abandoned()) {
            val left = askAgainAt - clock.millis()
            // A local owner answers only when it has decided; a remote one was silent for too long.
            if (left <= 0) return if (router.isLocal(address)) PlaceReply.Waiting() else null
            try {
                return future.get(minOf(left, POLL_MILLIS), TimeUnit.MILLISECONDS)
            } catch (_: TimeoutException) {
                continue
            }
        }
        return null
    }

    private fun hold(address: CellAddress, placed: PlaceReply.Placed, sentAt: Long) =
        HeldPlacement(HeldTicket(address.region, request, placed, acknowledgedAt = sentAt), placed)

    private fun withdrawn(address: CellAddress): Outcome.Failure {
        withdraw(address)
        return Outcome.Failure(ResultCode.PLACEMENT_UNAVAILABLE, detail = "the caller has left")
    }

    private fun withdraw(address: CellAddress) =
        keeper.release(HeldTicket(address.region, request, placed = null, acknowledgedAt = clock.millis()))

    private fun refused(): Outcome.Failure {
        val reply = refusal
        val code =
            when {
                reply?.reason == RefusalReason.NO_REPLICA.name -> ResultCode.NO_UPSTREAM
                reply != null || queued -> ResultCode.CAPACITY_EXHAUSTED
                else -> ResultCode.PLACEMENT_UNAVAILABLE
            }
        return Outcome.Failure(code, detail = reply?.reason.orEmpty(), retryAfterMillis = reply?.retryAfterMillis)
    }

    private companion object {
        /** Refusals for which another region may have room. */
        val ELSEWHERE = setOf(RefusalReason.NO_REPLICA.name, RefusalReason.CAPACITY.name)

        /** Longer than the owner holds a question open and the transport's limit. */
        const val ASK_AGAIN_MILLIS = 3_200L
        const val POLL_MILLIS = 100L

        /** Longest search for an owner that acts: a lease that runs out, a store write and the first promise. */
        const val OWNER_PATIENCE_MILLIS = 6_000L
        const val RETRY_MILLIS = 50L
        const val FAILURES_PER_REGION = 10
    }
}
