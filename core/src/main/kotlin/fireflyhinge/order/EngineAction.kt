package fireflyhinge.order

/**
 * The kind of change that an order requests from an engine.
 *
 * @property wireName name in the engine protocol.
 * @property loads whether the engine reads weights from the weight store.
 * @property disruptive whether requests that run during the change would fail.
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
        /** The action with the given wire name, or null if there is none. */
        fun of(wireName: String): EngineAction? = entries.find { it.wireName == wireName }
    }
}
