package fireflyhinge.config

/** Gives the newest configuration that this daemon holds. */
interface ConfigSource {
    /** The newest snapshot; never older than one returned before. */
    fun current(): ConfigSnapshot

    /** Calls [listener] after each change, in the thread that applied it. */
    fun onChange(listener: (ConfigSnapshot) -> Unit)
}
