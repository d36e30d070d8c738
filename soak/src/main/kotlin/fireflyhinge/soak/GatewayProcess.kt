package fireflyhinge.soak

import org.slf4j.LoggerFactory
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText

/** One gateway as a process of its own, which is stopped, paused and killed by its id only. */
internal class GatewayProcess(
    val address: GatewayAddress,
    private val command: List<String>,
    private val folder: Path,
    private val violations: Violations,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val name = "gateway-${address.index}"
    private val file = folder.resolve("$name.conf")
    private var current: Running? = null

    /** [ending] is set before the soak ends the process; any other end is a violation. */
    private class Running(val process: Process) {
        @Volatile
        var ending = false
    }

    /** Starts the program with [settings]. */
    @Synchronized
    fun start(settings: String) {
        rewrite(settings)
        val output = ProcessBuilder.Redirect.appendTo(folder.resolve("$name.log").toFile())
        val builder = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output)
        builder.environment().keys.retainAll(setOf("PATH", "HOME", "JAVA_HOME", "LANG"))
        builder.environment()["FIREFLYHINGE_SETTINGS"] = file.toString()
        val running = Running(builder.start())
        current = running
        running.process.onExit().thenAccept {
            val detail = "$name pid=${it.pid()} ended by itself with ${it.exitValue()}"
            if (!running.ending) violations.add("ended", "-", detail)
        }
    }

    /** Replaces the settings file. */
    fun rewrite(settings: String) = file.writeText(settings)

    /** Sends a signal, such as `STOP`, to a process that runs. */
    fun signal(signal: String) {
        val pid = current?.process?.takeIf { it.isAlive }?.pid() ?: return
        val result = ProcessBuilder("kill", "-$signal", "$pid").inheritIO().start().waitFor()
        if (result != 0) log.warn("signal {} to {} failed with {}", signal, pid, result)
    }

    /** Ends the process at once. */
    @Synchronized
    fun kill() {
        val running = current ?: return
        running.ending = true
        running.process.destroyForcibly().waitFor()
    }

    /** Ends the process as the platform does: SIGTERM, and SIGKILL after the time of grace. */
    @Synchronized
    fun stop() {
        val running = current ?: return
        running.ending = true
        running.process.destroy()
        if (!running.process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
            log.warn("{} was killed after the time of grace", name)
            kill()
        }
    }

    companion object {
        /** `bounds.graceS` of the settings. */
        const val GRACE_SECONDS = 8L
    }
}
