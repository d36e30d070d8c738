package fireflyhinge.daemon.config

import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.membership.ConfigSyncListener
import fireflyhinge.membership.Membership
import fireflyhinge.membership.WatchHolders
import kotlin.concurrent.thread

/** Thread that loads the configuration and then follows the store while this VM is to hold a watch. */
internal class ConfigLoop(
    private val settings: ConfigSettings,
    private val watch: StoreWatch,
    private val peers: ConfigPeers,
    private val membership: Membership,
    private val syncListener: ConfigSyncListener,
) : AutoCloseable {
    @Volatile
    private var running = false

    /** Whether the configuration was read once and was current then. */
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
            var done = false
            LoopTask("configuration loop") { done = pass() }.run()
            if (!done) Thread.sleep(settings.pollMillis)
        }
    }

    private fun pass(): Boolean {
        val done = if (membership.isolated()) recover() else follow()
        loaded = loaded || !membership.isolated()
        return done
    }

    /** At the start the store comes first; later peers do, so that many VMs that return at once do not all read it. */
    private fun recover(): Boolean {
        if (loaded) peers.catchUp() || readStore() else readStore() || peers.compareWithAny()
        return !membership.isolated()
    }

    private fun readStore(): Boolean {
        val began = syncListener.begin()
        return watch.list().also { if (it) syncListener.onStoreRead(began) }
    }

    private fun follow(): Boolean {
        val self = membership.self()
        if (self.id in WatchHolders.of(membership.members(), self.region)) return watch.poll()
        watch.reset()
        return false
    }
}
