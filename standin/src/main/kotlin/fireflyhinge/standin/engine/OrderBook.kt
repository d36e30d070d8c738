package fireflyhinge.standin.engine

import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineOrder

/** Accepted orders and what they changed. */
internal class OrderBook(private val settings: EngineSettings) {
    private val accepted = ArrayList<EngineOrder>()
    private var highestFence = Long.MIN_VALUE

    @Volatile var role: UpstreamRole = settings.role
        private set

    @Volatile private var models: Set<String> = settings.models

    /** Orders accepted, oldest first. */
    @Synchronized
    fun accepted(): List<EngineOrder> = accepted.toList()

    /** Whether [model] is loaded; an empty set of models stands for any. */
    fun serves(model: String): Boolean = models.isEmpty() || model in models

    /** Carries out [order]; false if its fencing number is old and the engine checks it. */
    @Synchronized
    fun give(order: EngineOrder): Boolean {
        if (settings.checksFence && order.fence < highestFence) return false
        highestFence = maxOf(highestFence, order.fence)
        accepted += order
        when (order.action) {
            "load_model" -> models = models + order.argument
            "unload_model" -> models = models - order.argument
            "role" -> role = UpstreamRole.valueOf(order.argument.uppercase())
        }
        return true
    }
}
