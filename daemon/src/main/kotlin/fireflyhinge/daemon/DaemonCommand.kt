package fireflyhinge.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import fireflyhinge.daemon.settings.Setting
import fireflyhinge.daemon.settings.Settings
import fireflyhinge.daemon.settings.SettingsResult

/** The daemon's command line: one flag and one environment variable for each of [Settings.ALL]. */
internal class DaemonCommand : CliktCommand(name = "fireflyhinge") {
    private val given: Map<String, () -> String?> = Settings.ALL.associate { it.name to optionFor(it) }

    override fun help(context: Context): String =
        "Routes model requests between a prefill pool and a decode pool, and calls to plain services."

    override fun run() {
        when (val result = Settings.read(given.mapValues { it.value() })) {
            is SettingsResult.Valid -> Daemon(result.settings).run()
            is SettingsResult.Invalid -> {
                result.faults.forEach { echo(it, err = true) }
                throw ProgramResult(EXIT_INVALID_SETTINGS)
            }
        }
    }

    private fun optionFor(setting: Setting<*>): () -> String? {
        val help = "${setting.description} Allowed: ${setting.allowed}."
        val option = option("--${setting.name}", envvar = setting.variable, help = help)
        registerOption(option)
        return { option.value }
    }

    private companion object {
        const val EXIT_INVALID_SETTINGS = 2
    }
}
