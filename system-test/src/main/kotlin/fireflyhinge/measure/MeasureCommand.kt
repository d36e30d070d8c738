package fireflyhinge.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import java.nio.file.Files
import java.nio.file.Path

/** Measures the placement policy against two baselines with real daemon processes over the stand-ins. */
internal class MeasureCommand : CliktCommand(name = "measure") {
    private val profile by option("--profile", help = "Fleet and traffic").choice(Profile.ALL).required()
    private val seed by option("--seed", help = "Seed of the arrivals").long().default(1)
    private val seconds by option("--seconds", help = "Length of each run in seconds").int().default(SECONDS)
    private val policies by option("--policies", help = "Policies to run").split(",").default(POLICIES)
    private val runs by option("--runs", help = "Runs to make; all by default").split(",")
    private val output by option("--output", help = "File for the results as JSON")

    override fun help(context: Context) = "Runs fleets on loopback under an open-loop load and prints the measures."

    override fun run() {
        echo("profile ${profile.name}, seed $seed, $seconds s a run, stand-in times not scaled")
        echo("capacity ${"%.1f".format(profile.capacityPerSecond)} requests/s")
        echo(Report.HEAD)
        val scenarios = Scenario.all(profile).filter { runs?.contains(it.name) ?: true }
        val measurement = Measurement(profile, seed, seconds)
        val results = policies.flatMap { policy -> measurement.run(policy, scenarios) { echo(Report.row(it)) } }
        isolation(results)
        val json = Report.json(profile.name, seed, results)
        output?.let { Files.writeString(Path.of(it), json) } ?: echo(json)
    }

    private fun isolation(results: List<RunResult>) {
        val noisy = Scenario.noisyWorkspace(profile)
        results.groupBy { it.policy }.forEach { (policy, runs) ->
            val alone = runs.find { it.scenario == "others-alone" }
            val together = runs.find { it.scenario == "noisy" }
            if (alone == null || together == null) return@forEach
            val kept = together.goodputWithout(noisy) / alone.goodputWithout(noisy)
            echo("$policy: with $noisy at five times its rate the others keep ${"%.3f".format(kept)} of their goodput")
        }
    }

    private companion object {
        const val SECONDS = 12
        val POLICIES = listOf("reserve", "round-robin", "least-load")
    }
}

/** Entry point of `bin/measure`. */
fun main(args: Array<String>) = MeasureCommand().main(args)
