package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/**
 * A process of the system under test. Its output goes to [log]. The first output line that has a `listening` field
 * tells that it accepts connections. It ends with this JVM at the latest.
 */
class ManagedProcess private constructor(val name: String, private val process: Process, val log: Path) :
    AutoCloseable {
    /** Fields of the line that announced the listening addresses. */
    lateinit var announcement: JsonNode
        private set

    /** Address that the process announced, as `host:port`. */
    val listening: String get() = announcement["listening"].asText()

    /** Operating system id of the process. */
    val pid: Long get() = process.pid()

    /** Whether the process has not ended. */
    val alive: Boolean get() = process.isAlive

    /** Ends the process at once (SIGKILL). */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(EXIT_WAIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Asks the process to stop (SIGTERM) and returns its exit status, or null if it did not end in [seconds]. */
    fun terminate(seconds: Long): Int? {
        process.destroy()
        return if (process.waitFor(seconds, TimeUnit.SECONDS)) process.exitValue() else null
    }

    /** Pauses the process (SIGSTOP). */
    fun pause() = signal("STOP")

    /** Continues a paused process (SIGCONT). */
    fun resume() = signal("CONT")

    override fun close() = kill()

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }

    private fun awaitAnnouncement() {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_WAIT_SECONDS)
        while (System.nanoTime() < deadline && process.isAlive) {
            val line = Files.readAllLines(log).firstOrNull { it.startsWith("{") && "\"listening\"" in it }
            if (line != null) {
                announcement = Json.mapper.readTree(line)
                return
            }
            Thread.sleep(POLL_MILLIS)
        }
        val state = if (process.isAlive) "waited $START_WAIT_SECONDS s" else "exit status ${process.exitValue()}"
        val output = Files.readString(log)
        kill()
        throw IOException("process $name did not start ($state): $output")
    }

    companion object {
        private const val START_WAIT_SECONDS = 30L
        private const val EXIT_WAIT_SECONDS = 10L
        private const val POLL_MILLIS = 20L
        private val running = ConcurrentHashMap.newKeySet<Process>()

        init {
            Runtime.getRuntime().addShutdownHook(Thread { running.forEach(Process::destroyForcibly) })
        }

        /** Starts [command] with [environment] added and waits until it listens. */
        fun start(
            name: String,
            command: List<String>,
            directory: Path,
            environment: Map<String, String> = emptyMap(),
        ): ManagedProcess {
            Files.createDirectories(directory)
            val log = Files.createTempFile(directory, "$name-", ".log")
            val builder = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log.toFile())
            builder.environment().putAll(environment)
            val process = builder.start()
            running += process
            process.onExit().thenRun { running -= process }
            return ManagedProcess(name, process, log).also { it.awaitAnnouncement() }
        }
    }
}
