package fireflyhinge.systemtest

import java.nio.file.Path

/** Builds command lines that run a main class with the class path of this process. */
object JavaCommand {
    /** Command for [mainClass] with [arguments], options of the JVM and at most [heapMegabytes] of heap. */
    fun of(
        mainClass: String,
        arguments: List<String>,
        heapMegabytes: Int = 192,
        jvmArguments: List<String> = emptyList(),
    ): List<String> =
        listOf(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=4",
            "-Xss512k",
            "-Xmx${heapMegabytes}m",
        ) + jvmArguments + listOf("-cp", System.getProperty("java.class.path"), mainClass) + arguments
}
