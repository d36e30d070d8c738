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

/**
 * One call of [PeerPlacementClient.place]: asks the owners of [cells] in turn until one answers or time is up. A
 * request with a first-token target asks the other cells when the first one cannot meet it, and waits late in the
 * first.
 */
internal class PlacementAttempt(
    private val request: PlaceRequest,
    private val cells: List<CellAddress>,
    private val router: OwnerRouter,
    private val keeper: TicketKeeper,
    private val clock: MonotonicClock,
    private val executor: Executor,
) {
    private val started = clock.millis()
    private val deadline = started + request.maxWaitMillis
    private var legs = if (request.firstTokenMillis == null || cells.size == 1) cells else cells + cells.first()
    private var legStart = started
    private var failures = 0
    private var next = 0
    private var queued = false
    private var refusal: PlaceReply.Refused? = null

    /** The placement and the cell that gave it, or why there is none. */
    fun run(abandoned: () -> Boolean): Outcome<HeldPlacement> {
        while (next < legs.size && clock.millis() <= deadline) {
            val address = legs[next]
            val sentAt = clock.millis()
            val future = router.place(address, question(sentAt), failures, executor)
            val reply = await(address, future, minOf(sentAt + ASK_AGAIN_MILLIS, deadline + ANSWER_MILLIS), abandoned)
            if (abandoned()) return withdrawn(address)
            if (reply is PlaceReply.Placed) return Outcome.Success(hold(address, reply, sentAt))
            handle(address, reply)
        }
        legs.getOrNull(next)?.let(::withdraw)
        return refused()
    }

    /** The request with the time that is left at [now]. */
    private fun question(now: Long): PlaceRequest {
        val left = deadline - now
        val due = request.firstTokenMillis?.let { started + it }
        val last = next == legs.size - 1
        val wait = if (due == null || last) left else minOf(left, maxOf(due, legStart + LEG_MILLIS) - now)
        return request.copy(maxWaitMillis = maxOf(1, wait), firstTokenMillis = due?.minus(now))
    }

    private fun handle(address: CellAddress, reply: PlaceReply?) {
        when (reply) {
            is PlaceReply.Refused -> {
                refusal = reply
                advance(if (reply.reason in ELSEWHERE) next + 1 else legs.size)
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
        if (failures % FAILURES_PER_REGION == 0 && next + 1 < legs.size) {
            withdraw(address)
            // A withdrawn request is not placed by the same cell later.
            if (legs.last() == address) legs = legs.dropLast(1)
            advance(next + 1)
        } else {
            Thread.sleep(RETRY_MILLIS)
        }
    }

    private fun advance(leg: Int) {
        next = leg
        legStart = clock.millis()
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

        /** Time for an answer that the owner gives at the deadline. */
        const val ANSWER_MILLIS = 100L

        /** Least time for which each cell is asked: the least wait that an owner grants an on-time request. */
        const val LEG_MILLIS = 250L
        const val RETRY_MILLIS = 50L
        const val FAILURES_PER_REGION = 10
    }
}
