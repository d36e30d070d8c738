package fireflyhinge.order

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad

/** Compares the desired state of a replica with the state that its engine reports. */
internal object OrderPlan {
    /** The next step from the state in [load] to the [desired] one, or null if there is none. */
    fun next(desired: Upstream, load: EngineLoad): OrderStep? {
        val role = load.role ?: return null
        return when {
            role != desired.role -> OrderStep(EngineAction.ROLE, desired.role.name.lowercase())
            else -> unload(desired, load) ?: version(desired, load) ?: load(desired, load)
        }
    }

    /** Whether the engine can serve the requests that the configuration routes to it. */
    fun serves(desired: Upstream, load: EngineLoad): Boolean {
        val models = load.models
        val wanted = desired.models.orEmpty()
        val role = load.role == null || load.role == desired.role
        return role && (models.isNullOrEmpty() || wanted.isEmpty() || wanted.any { it in models })
    }

    /** Unloading comes before loading, to free memory. */
    private fun unload(desired: Upstream, load: EngineLoad): OrderStep? =
        surplus(load.models, desired.models)?.let { OrderStep(EngineAction.UNLOAD_MODEL, it) }
            ?: surplus(load.adapters, desired.adapters)?.let { OrderStep(EngineAction.UNLOAD_ADAPTER, it) }

    private fun version(desired: Upstream, load: EngineLoad): OrderStep? =
        desired.modelVersion?.takeIf { it != load.version }?.let { OrderStep(EngineAction.VERSION, it) }

    private fun load(desired: Upstream, load: EngineLoad): OrderStep? =
        surplus(desired.models, load.models)?.let { OrderStep(EngineAction.LOAD_MODEL, it) }
            ?: surplus(desired.adapters, load.adapters)?.let { OrderStep(EngineAction.LOAD_ADAPTER, it) }

    /** The first element of [actual] that is not in [expected], or null if there is none or either is unknown. */
    private fun surplus(actual: Collection<String>?, expected: Collection<String>?): String? =
        if (actual == null || expected == null) null else (actual - expected.toSet()).minOrNull()
}
