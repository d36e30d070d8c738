package fireflyhinge.gateway.forward

import fireflyhinge.forward.EventSequence
import fireflyhinge.gateway.http.OutboundConnection
import fireflyhinge.gateway.http.monotonicMillis
import fireflyhinge.gateway.runLogged
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/**
 * Detects that a replica has become unresponsive and fails its run over. Used by one coroutine.
 *
 * @param failover where the request continues; null if this run is the last one. A healthy replica may pause, so a
 * pause alone ends no run: it ends once the other replica has taken the request.
 */
internal class LivenessWatch(private val order: EventSequence, private val failover: FailoverTarget?) {
    private var lastEventMillis = monotonicMillis()
    private var waiting = true

    /** Whether the request continues at another replica. */
    var failedOver = false
        private set

    /** Runs [block], which reads from [connection]; closes the connection if the run fails over meanwhile. */
    suspend fun <T> during(connection: OutboundConnection, block: suspend () -> T): T {
        if (failover == null) return block()
        return coroutineScope {
            val watch = launch { watch(connection, failover) }
            try {
                block()
            } finally {
                watch.cancel()
                if (!failedOver) failover.discard()
            }
        }
    }

    /** Records whether the run waits for its replica. */
    fun setWaiting(value: Boolean) {
        waiting = value
    }

    /** Records that the replica sent an event. */
    fun recordEvent() {
        lastEventMillis = monotonicMillis()
    }

    private suspend fun watch(connection: OutboundConnection, failover: FailoverTarget) {
        while (!failedOver) {
            delay(LIVENESS_CHECK_MILLIS)
            if (!unresponsive()) continue
            val ready = runLogged(log, "preparing another replica") { failover.prepare() } ?: false
            // Meanwhile the replica may have resumed, and may have sent events after which no other run can continue.
            failedOver = ready && unresponsive() && order.allNumbered && start(failover)
            if (ready && !failedOver) failover.discard()
            if (!failedOver) delay(PREPARE_RETRY_MILLIS)
        }
        connection.close()
    }

    /** Returns whether the other replica has taken the request before this one resumed. */
    private suspend fun start(failover: FailoverTarget): Boolean =
        coroutineScope {
            val start = async { runLogged(log, "failing over") { failover.start() } ?: false }
            while (start.isActive && unresponsive()) withTimeoutOrNull(RESUMED_CHECK_MILLIS) { start.join() }
            if (start.isActive) {
                start.cancel()
                false
            } else {
                start.await() && unresponsive()
            }
        }

    private fun unresponsive() =
        waiting && monotonicMillis() - lastEventMillis >= ReplicaTimeouts.HEALTHY_PAUSE_MILLIS

    private companion object {
        val log = LoggerFactory.getLogger(LivenessWatch::class.java)

        /** Interval at which an unresponsive replica is detected; short compared with the limit. */
        const val LIVENESS_CHECK_MILLIS = 100L

        /** Interval at which a replica that resumes is detected while another one is asked. */
        const val RESUMED_CHECK_MILLIS = 10L

        /** Pause between two attempts to prepare a failover: slots become free several times a second. */
        const val PREPARE_RETRY_MILLIS = 200L
    }
}
