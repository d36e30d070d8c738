package fireflyhinge.soak

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.nio.file.Path

/** Runs gateways as processes under seeded faults. Exits with 1 after a violation. */
internal class SoakCommand : CliktCommand(name = "soak") {
    private val seed by option("--seed", help = "Decides faults, wrong answers and requests").long().required()
    private val minutes by option("--minutes", help = "How long faults are injected").double().default(1.0)
    private val gateways by option("--gateways", help = "Number of gateways").int().restrictTo(1..8).default(4)

    private val without by option("--without", help = "Kinds of faults left out").enum<FaultKind>().multiple()

    override fun help(context: Context) = "Runs gateways under faults and checks what callers and replicas see."

    override fun run() {
        val root = Path.of(System.getProperty("fireflyhinge.root", "."))
        val millis = (minutes * MILLIS_PER_MINUTE).toLong()
        val soak = Soak(seed, millis, gateways, root, ::println, leftOut = without)
        if (soak.run().isNotEmpty()) throw ProgramResult(1)
    }

    private companion object {
        const val MILLIS_PER_MINUTE = 60_000
    }
}

/** Entry point of `bin/soak`. */
fun main(args: Array<String>) = SoakCommand().main(args)
