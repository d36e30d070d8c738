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
 * One call of [PeerPlacementClient.place]: tries the owners of [cells] in turn until one places the request or the
 * deadline passes. A request with a first-token target moves on to the other cells when the first one cannot meet the
 * target, and at last returns to the first one to wait there beyond the target.
 */
internal class PlacementAttempt(
    private val request: PlaceRequest,
    private val cells: List<CellAddress>,
    private val router: OwnerRouter,
    private val renewer: TicketRenewer,
    private val clock: MonotonicClock,
    private val executor: Executor,
) {
    private val started = clock.millis()
    private val deadline = started + request.maxWaitMillis
    private var cellsToTry = if (request.firstTokenMillis == null || cells.size == 1) cells else cells + cells.first()
    private var cellStartedAt = started
    private var failures = 0
    private var next = 0
    private var queued = false
    private var refusal: PlaceReply.Refused? = null

    /** Returns the placement with its ticket, or the reason why there is none. */
    fun run(abandoned: () -> Boolean): Outcome<HeldPlacement> {
        while (next < cellsToTry.size && clock.millis() <= deadline) {
            val address = cellsToTry[next]
            val sentAt = clock.millis()
            val future = router.place(address, requestAt(sentAt), failures, executor)
            val timeoutAt = minOf(sentAt + REPLY_TIMEOUT_MILLIS, deadline + REPLY_MARGIN_MILLIS)
            val reply = await(address, future, timeoutAt, abandoned)
            if (abandoned()) return withdrawn(address)
            if (reply is PlaceReply.Placed) return Outcome.Success(hold(address, reply, sentAt))
            handle(address, reply)
        }
        cellsToTry.getOrNull(next)?.let(::withdraw)
        return failure()
    }

    /** The request to send at [now], with the remaining times. */
    private fun requestAt(now: Long): PlaceRequest {
        val left = deadline - now
        val due = request.firstTokenMillis?.let { started + it }
        val last = next == cellsToTry.size - 1
        val wait = if (due == null || last) left else minOf(left, maxOf(due, cellStartedAt + MIN_CELL_MILLIS) - now)
        return request.copy(maxWaitMillis = maxOf(1, wait), firstTokenMillis = due?.minus(now))
    }

    private fun handle(address: CellAddress, reply: PlaceReply?) {
        when (reply) {
            is PlaceReply.Refused -> {
                refusal = reply
                advance(if (reply.reason in NEXT_CELL_REASONS) next + 1 else cellsToTry.size)
            }
            is PlaceReply.Waiting -> {
                queued = true
                failures = 0
            }
            else -> onNoReply(address)
        }
    }

    /** No owner answered: tries again after a delay, or the next cell after [FAILURES_PER_CELL] failures. */
    private fun onNoReply(address: CellAddress) {
        failures++
        if (failures % FAILURES_PER_CELL == 0 && next + 1 < cellsToTry.size) {
            withdraw(address)
            // A cell does not place a request that was withdrawn from it, so returning to it is useless.
            if (cellsToTry.last() == address) cellsToTry = cellsToTry.dropLast(1)
            advance(next + 1)
        } else {
            Thread.sleep(RETRY_DELAY_MILLIS)
        }
    }

    private fun advance(index: Int) {
        next = index
        cellStartedAt = clock.millis()
    }

    private fun await(
        address: CellAddress,
        future: CompletableFuture<PlaceReply?>,
        timeoutAt: Long,
        abandoned: () -> Boolean,
    ): PlaceReply? {
        while (!abandoned()) {
            val left = timeoutAt - clock.millis()
            // A local owner replies only once it has decided; a remote one has exceeded the reply timeout.
            if (left <= 0) return if (router.isLocal(address)) PlaceReply.Waiting() else null
            try {
                return future.get(minOf(left, ABANDONED_CHECK_MILLIS), TimeUnit.MILLISECONDS)
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
        renewer.release(HeldTicket(address.region, request, placed = null, acknowledgedAt = clock.millis()))

    private fun failure(): Outcome.Failure {
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
        /** Refusal reasons after which another region may still have capacity. */
        val NEXT_CELL_REASONS = setOf(RefusalReason.NO_REPLICA.name, RefusalReason.CAPACITY.name)

        /** Longer than [CellService.LONG_POLL_MILLIS] and the transport's timeout. */
        const val REPLY_TIMEOUT_MILLIS = 3_200L
        const val ABANDONED_CHECK_MILLIS = 100L

        /** Allows for the transit of a reply that the owner sends at the deadline. */
        const val REPLY_MARGIN_MILLIS = 100L

        /** Minimum time for each cell, as an owner grants it to a request that can still meet its target. */
        const val MIN_CELL_MILLIS = 250L
        const val RETRY_DELAY_MILLIS = 50L
        const val FAILURES_PER_CELL = 10
    }
}
