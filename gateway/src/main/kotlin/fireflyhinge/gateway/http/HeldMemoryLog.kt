package fireflyhinge.gateway.http

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicBoolean

/** Logs and counts what [HeldMemory] refuses and aborts. Thread-safe. */
internal class HeldMemoryLog(registry: PrometheusRegistry, private val heldBytes: () -> Long) {
    private val refusing = AtomicBoolean()
    private val refusals =
        Counter
            .builder()
            .name("fireflyhinge_memory_refusals_total")
            .help("Requests refused because the VM holds too many bytes for others.")
            .register(registry)
    private val aborts =
        Counter
            .builder()
            .name("fireflyhinge_slow_callers_aborted_total")
            .help("Callers whose connection was closed because they did not read, by reason (memory, time).")
            .labelNames("reason")
            .register(registry)

    init {
        GaugeWithCallback
            .builder()
            .name("fireflyhinge_held_bytes")
            .help("Bytes held for callers and replicas: request bodies, buffered responses, queued bytes.")
            .callback { it.call(heldBytes().toDouble()) }
            .register(registry)
    }

    /** Records whether a new request was accepted; logs when that changes. */
    fun recordDecision(accepted: Boolean) {
        if (!accepted) refusals.inc()
        if (refusing.compareAndSet(accepted, !accepted)) {
            val text = if (accepted) "accepting new requests again" else "refusing new requests for lack of memory"
            log.atInfo().addKeyValue("held", heldBytes()).log(text)
        }
    }

    /** Records that [output] was aborted for [reason]. */
    fun recordAbort(output: CallerOutput, reason: String) {
        aborts.labelValues(reason).inc()
        log.atInfo().addKeyValue("uri", output.uri).addKeyValue("reason", reason)
            .addKeyValue("queued", output.queuedBytes).addKeyValue("stalled_millis", output.stalledMillis)
            .addKeyValue("held", heldBytes()).log("aborted a caller that does not read")
    }

    private companion object {
        val log = LoggerFactory.getLogger(HeldMemory::class.java)
    }
}
