package fireflyhinge.daemon.config

import fireflyhinge.membership.Membership
import fireflyhinge.membership.WatchHolders
import kotlin.concurrent.thread

/** Thread that loads the configuration and then follows the store while this VM is to hold a watch. */
internal class ConfigLoop(
    private val settings: ConfigSettings,
    private val watch: StoreWatch,
    private val peers: ConfigPeers,
    private val membership: Membership,
) : AutoCloseable {
    @Volatile
    private var running = false

    /** Whether the configuration was read once. */
    @Volatile
    var loaded = false
        private set

    fun start() {
        running = true
        thread(name = "config", isDaemon = true, block = ::run)
    }

    override fun close() {
        running = false
        watch.close()
    }

    private fun run() {
        while (running) {
            val answered = if (loaded) follow() else load()
            if (!answered) Thread.sleep(settings.pollMillis)
        }
    }

    private fun load(): Boolean {
        loaded = watch.list() || peers.compareWithAny()
        return loaded
    }

    private fun follow(): Boolean {
        val self = membership.self()
        if (self.id in WatchHolders.of(membership.members(), self.region)) return watch.poll()
        watch.reset()
        return false
    }
}
