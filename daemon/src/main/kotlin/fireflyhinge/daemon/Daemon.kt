package fireflyhinge.daemon

import fireflyhinge.daemon.settings.Settings

/** One daemon process: builds all parts from [settings] and connects them. */
class Daemon(private val settings: Settings) {
    /** Runs until the process is told to stop. */
    fun run() {
        println(settings.vm)
    }
}
