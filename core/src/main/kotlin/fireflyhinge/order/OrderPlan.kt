package fireflyhinge.order

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineLoad

/** Compares the desired state of a replica with what its engine reports. */
internal object OrderPlan {
    /** First step from the state in [load] to the one that [desired] asks for, or null if there is none to take. */
    fun next(desired: Upstream, load: EngineLoad): OrderStep? {
        val role = load.role ?: return null
        return when {
            role != desired.role -> OrderStep(EngineAction.ROLE, desired.role.name.lowercase())
            else -> unload(desired, load) ?: version(desired, load) ?: load(desired, load)
        }
    }

    /** Whether the engine can run what the configuration sends to it. */
    fun serves(desired: Upstream, load: EngineLoad): Boolean {
        val models = load.models
        val wanted = desired.models.orEmpty()
        val role = load.role == null || load.role == desired.role
        return role && (models.isNullOrEmpty() || wanted.isEmpty() || wanted.any { it in models })
    }

    /** Before anything is loaded, so that the memory is free. */
    private fun unload(desired: Upstream, load: EngineLoad): OrderStep? =
        surplus(load.models, desired.models)?.let { OrderStep(EngineAction.UNLOAD_MODEL, it) }
            ?: surplus(load.adapters, desired.adapters)?.let { OrderStep(EngineAction.UNLOAD_ADAPTER, it) }

    private fun version(desired: Upstream, load: EngineLoad): OrderStep? =
        desired.modelVersion?.takeIf { it != load.version }?.let { OrderStep(EngineAction.VERSION, it) }

    private fun load(desired: Upstream, load: EngineLoad): OrderStep? =
        surplus(desired.models, load.models)?.let { OrderStep(EngineAction.LOAD_MODEL, it) }
            ?: surplus(desired.adapters, load.adapters)?.let { OrderStep(EngineAction.LOAD_ADAPTER, it) }

    /** First element of [here] that is not [there]; null also if either is not known. */
    private fun surplus(here: Collection<String>?, there: Collection<String>?): String? =
        if (here == null || there == null) null else (here - there.toSet()).minOrNull()
}
