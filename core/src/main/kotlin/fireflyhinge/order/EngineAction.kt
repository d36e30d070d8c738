package fireflyhinge.order

/**
 * What an order tells an engine to do.
 *
 * @property wireName name in the engines' protocol.
 * @property loads whether weights are read from the weight store.
 * @property disruptive whether running requests would lose what serves them.
 */
enum class EngineAction(val wireName: String, val loads: Boolean, val disruptive: Boolean) {
    ROLE("role", loads = false, disruptive = true),
    UNLOAD_MODEL("unload_model", loads = false, disruptive = true),
    UNLOAD_ADAPTER("unload_adapter", loads = false, disruptive = true),
    VERSION("version", loads = true, disruptive = true),
    LOAD_MODEL("load_model", loads = true, disruptive = false),
    LOAD_ADAPTER("load_adapter", loads = true, disruptive = false),
    ;

    /** Actions by wire name. */
    companion object {
        /** The action called [wire], or null. */
        fun of(wireName: String): EngineAction? = entries.find { it.wireName == wireName }
    }
}
