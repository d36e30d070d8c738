package fireflyhinge.standin.engine

import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.OrderProgress
import fireflyhinge.engine.OrderState
import java.util.concurrent.TimeUnit

/** Accepted orders and what they changed. An order that loads weights takes effect after a while. */
internal class OrderBook(private val settings: EngineSettings, private val faults: EngineFaults) {
    private val accepted = ArrayList<EngineOrder>()
    private var highestFence = Long.MIN_VALUE
    private var last: OrderProgress? = null
    private var endsAt = 0L

    @Volatile var role: UpstreamRole = settings.role
        private set

    @Volatile var models: Set<String> = settings.models
        private set

    @Volatile var adapters: Set<String> = emptySet()
        private set

    @Volatile var version: String? = settings.version
        private set

    /** Orders accepted, oldest first. */
    @Synchronized
    fun accepted(): List<EngineOrder> = accepted.toList()

    /** The last accepted order, ended if its time is over. */
    @Synchronized
    fun progress(): OrderProgress? {
        last?.takeIf { it.state == OrderState.RUNNING && System.nanoTime() >= endsAt }?.let(::end)
        return last
    }

    /** Whether [model] is loaded; an empty set of models stands for any. */
    fun serves(model: String): Boolean = models.isEmpty() || model in models

    /** Begins to carry out [order], or returns why not. */
    @Synchronized
    fun give(order: EngineOrder): Refusal? {
        if (settings.checksFence && order.fence < highestFence) {
            return Refusal(status = 412, reason = "fence ${order.fence} is older than an accepted one")
        }
        if (progress()?.state == OrderState.RUNNING) return Refusal(status = 409, reason = "another order runs")
        highestFence = maxOf(highestFence, order.fence)
        accepted += order
        val loads = order.action.startsWith("load_") || order.action == "version"
        endsAt = System.nanoTime() + if (loads) TimeUnit.MILLISECONDS.toNanos(settings.orderLoadMillis) else 0
        last = OrderProgress(order.fence, order.action, order.argument, OrderState.RUNNING)
        progress()
        return null
    }

    private fun end(order: OrderProgress) {
        val fails = order.argument in faults.failLoads
        if (!fails) apply(order.action, order.argument)
        last =
            if (fails) {
                order.copy(state = OrderState.FAILED, reason = "the weights cannot be read")
            } else {
                order.copy(state = OrderState.DONE)
            }
    }

    private fun apply(action: String, argument: String) {
        when (action) {
            "load_model" -> models = models + argument
            "unload_model" -> models = models - argument
            "load_adapter" -> adapters = adapters + argument
            "unload_adapter" -> adapters = adapters - argument
            "version" -> version = argument
            "role" -> role = UpstreamRole.valueOf(argument.uppercase())
        }
    }
}
