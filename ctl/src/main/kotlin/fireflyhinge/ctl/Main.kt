package fireflyhinge.ctl

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import kotlin.system.exitProcess

/** Entry point of `fireflyctl`. */
fun main(args: Array<String>) {
    exitProcess(execute(args.toList()))
}

/** Runs the command line [args] and returns its exit code; Clikt itself would end usage errors with 1. */
internal fun execute(args: List<String>): Int {
    val command = fireflyctl()
    return try {
        command.parse(args)
        ExitCode.OK.number
    } catch (e: UsageError) {
        command.echoFormattedHelp(e)
        ExitCode.USAGE.number
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        e.statusCode
    }
}
