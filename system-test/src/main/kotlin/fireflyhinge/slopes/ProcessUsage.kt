package fireflyhinge.slopes

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Processor time and heap of another Java process on this machine. */
internal class ProcessUsage(private val pid: Long) {
    /** User and system processor time in seconds, from `/proc` in ticks of 10 ms. */
    fun processorSeconds(): Double {
        val fields = Files.readString(Path.of("/proc/$pid/stat")).substringAfterLast(") ").split(" ")
        return (fields[USER].toLong() + fields[SYSTEM].toLong()) / TICKS_PER_SECOND
    }

    /** Bytes of live objects; the class histogram forces a full collection first. */
    fun liveHeapBytes(): Long {
        val jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd").toString()
        val output = Files.createTempFile("histogram", ".txt")
        val process =
            ProcessBuilder(jcmd, pid.toString(), "GC.class_histogram")
                .redirectErrorStream(true).redirectOutput(output.toFile()).start()
        check(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS)) { "jcmd did not end" }
        val total = Files.readAllLines(output).first { it.startsWith("Total") }
        Files.delete(output)
        return total.trim().split(Regex("\\s+"))[2].toLong()
    }

    private companion object {
        const val USER = 11
        const val SYSTEM = 12
        const val TICKS_PER_SECOND = 100.0
        const val WAIT_SECONDS = 30L
    }
}
