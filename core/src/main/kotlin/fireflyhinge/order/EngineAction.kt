package fireflyhinge.order

/**
 * What an order tells an engine to do.
 *
 * @property wire name in the engines' protocol.
 * @property loads whether weights are read from the weight store.
 * @property disrupts whether running requests would lose what serves them.
 */
enum class EngineAction(val wire: String, val loads: Boolean, val disrupts: Boolean) {
    ROLE("role", loads = false, disrupts = true),
    UNLOAD_MODEL("unload_model", loads = false, disrupts = true),
    UNLOAD_ADAPTER("unload_adapter", loads = false, disrupts = true),
    VERSION("version", loads = true, disrupts = true),
    LOAD_MODEL("load_model", loads = true, disrupts = false),
    LOAD_ADAPTER("load_adapter", loads = true, disrupts = false),
    ;

    /** Actions by wire name. */
    companion object {
        /** The action called [wire], or null. */
        fun of(wire: String): EngineAction? = entries.find { it.wire == wire }
    }
}
