package fireflyhinge.systemtest

import java.nio.file.Path

/** Starts a process, prints its id, and ends without closing it. */
internal object AbandonedProcess {
    @JvmStatic
    fun main(arguments: Array<String>) {
        val command = listOf("sh", "-c", """echo '{"listening":"none"}'; exec sleep 60""")
        println(ManagedProcess.start("abandoned", command, Path.of(arguments.single())).pid)
    }
}
