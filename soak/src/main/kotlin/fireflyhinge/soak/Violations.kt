package fireflyhinge.soak

import java.util.concurrent.CopyOnWriteArrayList

/** Collects broken promises and prints one line for each. */
internal class Violations(private val seed: Long, private val clock: Clock, private val print: (String) -> Unit) {
    private val lines = CopyOnWriteArrayList<String>()

    /** All lines so far. */
    val all: List<String> get() = lines

    fun add(rule: String, id: String, detail: String) {
        val line = "VIOLATION $rule request=$id seed=$seed millis=${clock.millis()} $detail"
        lines += line
        print(line)
    }
}
