package fireflyhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

/** A command that only groups others. */
internal class Group(name: String, private val text: String) : CliktCommand(name = name) {
    override fun help(context: Context): String = text

    override fun run() = Unit
}
