package fireflyhinge.gateway.http

import fireflyhinge.forward.HeldBytesLimits
import fireflyhinge.forward.SlowReaderPolicy
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/**
 * Counts the bytes that the process holds for callers and replicas, and aborts callers that do not read when
 * [SlowReaderPolicy] says so. Thread-safe; callers are aborted on [executor], the event loop of their connections.
 */
class HeldMemory(
    private val executor: Executor,
    limits: HeldBytesLimits = HeldBytesLimits.of(Runtime.getRuntime().maxMemory()),
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    private val policy = SlowReaderPolicy(limits)
    private val held = AtomicLong()
    private val outputs = ConcurrentHashMap.newKeySet<CallerOutput>()
    private val relieving = AtomicBoolean()

    @Volatile
    private var relievedMillis = 0L
    internal val log = HeldMemoryLog(registry, ::bytes)

    /** Limits in force. */
    val limits: HeldBytesLimits get() = policy.limits

    /** Bytes held now. */
    val bytes: Long get() = held.get()

    /** Bytes that are queued for one caller before its replica has to wait. */
    internal val readAheadBytes: Int get() = policy.readAheadBytes(bytes)

    /** Whether a new request is accepted; counts and logs that it is not. */
    internal fun acceptRequest(): Boolean = policy.acceptsRequest(bytes).also { log.recordDecision(it) }

    /** Counts [bytes] unless the process would then hold more than [limit]. Returns whether they are counted. */
    internal fun tryReserve(bytes: Int, limit: Long): Boolean {
        if (held.addAndGet(bytes.toLong()) <= limit) return true
        held.addAndGet(-bytes.toLong())
        return false
    }

    /** Counts [bytes] that are held already. */
    internal fun add(bytes: Int) {
        val now = held.addAndGet(bytes.toLong())
        if (bytes <= 0 || now < limits.relieveAt) return
        val due = now >= limits.total || monotonicMillis() - relievedMillis >= RELIEVE_INTERVAL_MILLIS
        if (due && relieving.compareAndSet(false, true)) executor.execute(::relieve)
    }

    /** No longer counts [bytes]. */
    internal fun release(bytes: Int) {
        held.addAndGet(-bytes.toLong())
    }

    /** Adds [output] to the candidates for an abort until its connection closes. */
    internal fun track(output: CallerOutput) {
        outputs += output
    }

    internal fun untrack(output: CallerOutput) {
        outputs -= output
    }

    /** Aborts callers that do not read if the process holds too much. Must be called on the event loop. */
    internal fun relieve() {
        relieving.set(false)
        relievedMillis = monotonicMillis()
        if (bytes < limits.relieveAt) return
        val readers =
            outputs.map { SlowReaderPolicy.Reader(it, it.queuedBytes.toLong(), it.stalledMillis) }
        policy.toAbort(bytes, readers).forEach { it.caller.abort("memory") }
    }

    private companion object {
        /** Callers stall for seconds before they are aborted, so that more frequent checks find no others. */
        const val RELIEVE_INTERVAL_MILLIS = 100L
    }
}
