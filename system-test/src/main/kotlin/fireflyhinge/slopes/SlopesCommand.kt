package fireflyhinge.slopes

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice

/** Measures how costs grow, for the extrapolation in `docs/CAPACITY.md`. */
internal class SlopesCommand : CliktCommand(name = "slopes") {
    private val part by option("--part", help = "Part to measure")
        .choice("messages", "fleet", "path", "closing")
        .required()

    override fun help(context: Context) = "Measures costs by fleet size, message content and load on loopback."

    override fun run() {
        val print = { line: String -> echo(line) }
        echo("part $part, load average ${Machine.load()}")
        when (part) {
            "messages" -> MessageSlopes.run(print)
            "fleet" -> FleetSlopes.run(print)
            "closing" -> ClosingRace.run(print)
            else -> PathSlopes.run(print)
        }
    }
}

/** Entry point of `bin/slopes`. */
fun main(args: Array<String>) = SlopesCommand().main(args)
