package fireflyhinge.config

/** Provides the newest configuration that this daemon has. */
interface ConfigSource {
    /** The newest snapshot; never older than a previously returned one. */
    fun current(): ConfigSnapshot

    /** Calls [listener] after each change, in the thread that applied it. */
    fun onChange(listener: (ConfigSnapshot) -> Unit)
}
