package fireflyhinge.gateway.fleet

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope

/** The queues that this VM owns, or that others take it to own. Calls and scrapes must come from one thread. */
internal class OwnedQueues(
    private val scope: CoroutineScope,
    private val capacity: QueueCapacity,
    registry: PrometheusRegistry,
) {
    private val queues = HashMap<QueueName, OwnedQueue>()

    init {
        GaugeWithCallback
            .builder()
            .name("fireflyhinge_queue_length")
            .help("Model requests that wait for capacity at this VM.")
            .callback { it.call(queues.values.sumOf { queue -> queue.size }.toDouble()) }
            .register(registry)
    }

    /** Adds the request of [call] and awaits the reply. Returns null if this VM knows no replica of the queue. */
    suspend fun await(call: QueueCall): QueueReply? {
        queues.values.removeIf { it.idle }
        if (capacity.replicas(call.queue).isEmpty()) return null
        val queue = queues.getOrPut(call.queue) { OwnedQueue(call.queue, scope, capacity) }
        return queue.await(call)
    }

    /** Records that request [id] ended its wait in [name]; [taken] if it got capacity. */
    fun ended(name: QueueName, id: String, taken: Boolean) {
        queues[name]?.ended(id, taken)
    }

    /** Records that capacity became free at [replicas]. */
    fun freed(name: QueueName, replicas: List<String>) {
        queues[name]?.freed(replicas)
    }
}
