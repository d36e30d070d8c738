package fireflyhinge.soak

import java.nio.file.Path
import kotlin.io.path.readText

/** The gateway's command in `deploy/system.toml`, with its options and main class, on this process's class path. */
internal object RunLine {
    fun read(root: Path, metricsPort: Int): List<String> {
        val line = Regex("^run = \"(.*)\"$", RegexOption.MULTILINE)
        val text = root.resolve("deploy/system.toml").readText()
        val words = checkNotNull(line.find(text)) { "deploy/system.toml names no program" }.groupValues[1].split(' ')
        val options = words.drop(1).filter { it.startsWith("-X") || it.startsWith("-D") }
        val main = words.single { it.endsWith("MainKt") }
        // The archive of classes belongs to the class path that `deploy/build` gathers.
        val kept = options.filterNot { it.startsWith("-XX:SharedArchiveFile") }
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        return listOf(java) + kept + listOf("-cp", System.getProperty("java.class.path"), main, "$metricsPort")
    }
}
