package fireflyhinge.slopes

import java.nio.file.Files
import java.nio.file.Path

/** State of the machine that a figure is reported with. */
internal object Machine {
    /** Load average over the last minute. */
    fun load(): String = Files.readString(Path.of("/proc/loadavg")).substringBefore(' ')
}
