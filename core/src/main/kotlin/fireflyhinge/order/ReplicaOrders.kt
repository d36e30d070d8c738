package fireflyhinge.order

import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.OrderProgress
import fireflyhinge.engine.OrderState
import java.time.Duration

/** Tracks the orders of one owner to one replica. Times are monotonic nanoseconds. Not thread-safe. */
internal class ReplicaOrders {
    private var sent: SentOrder? = null
    private var running: OrderProgress? = null
    private var retryAt: Long? = null
    private var staleAt: Long? = null
    private var reportedFailure: Long? = null
    private var answeredAt: Long? = null

    var refusal: OrderRefusal? = null
        private set

    /** The order that is being sent, was sent, or is reported as running, or null if there is none. */
    val current: EngineOrder? get() = sent?.order ?: running?.run { EngineOrder(fence, action, argument) }

    /** Whether the engine refused a fencing token and the map has not been read since. */
    val stopped: Boolean get() = staleAt != null

    /** Applies the [view] of the replica at [now]. The last complete read of the map began at [mapReadStartedAt]. */
    fun observe(view: ReplicaView, mapReadStartedAt: Long?, now: Long) {
        if (staleAt?.let { mapReadStartedAt != null && mapReadStartedAt > it } == true) staleAt = null
        if (view.reachable) answeredAt = now
        val progress = view.load?.order
        // An engine that does not answer may still be loading weights, but only for a limited time.
        val unansweredNanos = now - (answeredAt ?: now)
        running = progress?.takeIf { it.state == OrderState.RUNNING && unansweredNanos < UNREACHABLE_LOAD_NANOS }
        if (progress?.state == OrderState.FAILED) failed(progress, now)
        sent?.let { if (isOver(it, view, now)) sent = null }
    }

    /** Whether the delay after a refusal is not over at [now]. */
    fun isBackingOff(now: Long): Boolean = retryAt?.let { now < it } == true

    /** Records the decision to send [order]. */
    fun begin(order: EngineOrder, incarnation: Long?, now: Long) {
        sent = SentOrder(order, incarnation, at = now)
    }

    /** Records the [outcome] of sending [order]. */
    fun recordOutcome(order: EngineOrder, outcome: OrderOutcome, now: Long) {
        val held = sent?.takeIf { it.order == order } ?: return
        val open = outcome is OrderOutcome.Accepted || outcome is OrderOutcome.Unknown
        sent = held.copy(sending = false).takeIf { open }
        when (outcome) {
            is OrderOutcome.Accepted, is OrderOutcome.NotSent -> Unit
            is OrderOutcome.Unknown -> refusal = OrderRefusal(order, outcome.reason, now)
            is OrderOutcome.Refused -> refused(order, outcome.reason, now)
            is OrderOutcome.StaleToken -> {
                staleAt = now
                refused(order, outcome.reason, now)
            }
        }
    }

    private fun failed(progress: OrderProgress, now: Long) {
        if (reportedFailure == progress.fence) return
        reportedFailure = progress.fence
        refused(EngineOrder(progress.fence, progress.action, progress.argument), progress.reason, now)
    }

    private fun refused(order: EngineOrder, reason: String, now: Long) {
        refusal = OrderRefusal(order, reason, now)
        retryAt = now + RETRY_NANOS
    }

    /** Whether the engine reports the end of [order], or will no longer report it. */
    private fun isOver(order: SentOrder, view: ReplicaView, now: Long): Boolean {
        val load = view.load
        val reported = load?.order?.takeIf { it.fence == order.order.fence }
        return !order.sending &&
            when {
                load != null && load.incarnation != order.incarnation -> true
                reported != null -> reported.state != OrderState.RUNNING
                else -> now - order.at > UNREPORTED_NANOS
            }
    }

    companion object {
        /** Delay of the retry after a refusal or a failure. */
        val RETRY_NANOS: Long = Duration.ofSeconds(10).toNanos()

        /** Time after which an order that the engine does not report counts as lost. Reports lag by less. */
        val UNREPORTED_NANOS: Long = Duration.ofSeconds(5).toNanos()

        /** Time for which an order of an engine that does not answer still counts as running. */
        val UNREACHABLE_LOAD_NANOS: Long = Duration.ofSeconds(60).toNanos()
    }
}
