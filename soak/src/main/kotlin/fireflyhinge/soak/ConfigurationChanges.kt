package fireflyhinge.soak

import kotlin.random.Random

/** Writes new versions of the configuration to [store], whose writes never fail here. */
internal class ConfigurationChanges(private val store: StoreStandin, private val keys: Keys) {
    private var version = 1L
    private var configuration = Configuration()

    /** Writes a configuration with a new key and without the one before. */
    @Synchronized
    fun replaceKey() {
        val old = keys.current
        keys.next()
        write()
        keys.withdrawn(old)
    }

    /** Writes a configuration with another limit, time-out, route or weight. */
    @Synchronized
    fun change(random: Random) {
        configuration = configuration.changed(random)
        write()
    }

    private fun write() {
        store.put("config", "main", configuration.entry(++version, listOf(Keys.LASTING, keys.current)))
    }
}
