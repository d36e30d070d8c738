package fireflyhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo

/** The root command. */
class Fireflyctl : CliktCommand(name = "fireflyctl") {
    private val servers by option(
        "--server",
        envvar = "FIREFLYHINGE_SERVER",
        help = "Control address (host:port) of a VM; repeatable, tried in order.",
    ).multiple()
    private val token by option("--token", envvar = "FIREFLYHINGE_OPERATOR_TOKEN", help = "Operator token.").default("")
    private val json by option("--json", help = "Print answers as JSON, one a line.").flag()
    private val waitMillis by option("--wait-ms", help = "Limit of --wait in milliseconds (default 30000).")
        .long()
        .restrictTo(min = 0)
        .default(DEFAULT_WAIT_MILLIS)

    /** Clikt breaks lines only at U+0085. */
    override fun help(context: Context): String =
        """
        Changes and shows the configuration of a fireflyhinge fleet through any of its VMs.

        Examples:
        """.trimIndent() + examples.joinToString("") {
            "\u0085  $it"
        } +
            "\n\nExit codes: 0 ok, 1 refused, 2 usage, 3 conflict, 4 unreachable, 5 outcome unknown, 6 wait timed out."

    override fun run() {
        val known = servers.flatMap { it.split(',', ' ') }.filter { it.isNotBlank() }
        if (known.isEmpty()) throw UsageError("name a control address with --server or FIREFLYHINGE_SERVER")
        if (token.isEmpty()) throw UsageError("give the operator token with --token or FIREFLYHINGE_OPERATOR_TOKEN")
        currentContext.obj = Session(AdminClient(known, token), json, waitMillis, print = { echo(it) })
    }

    private companion object {
        const val DEFAULT_WAIT_MILLIS = 30_000L

        val examples =
            listOf(
                "fireflyctl --server 10.0.0.1:8081 status",
                "fireflyctl template apply large --set rate=20000",
                "fireflyctl workspace create shop --template large --wait",
                "fireflyctl key grant shop --wait",
                "fireflyctl upstream drain decode-3 --wait",
                "fireflyctl config versions --wait",
            )
    }
}

/** The whole command tree. */
fun fireflyctl(): CliktCommand =
    Fireflyctl().subcommands(
        Group("template", "Templates of workspaces.").subcommands(
            ApplyCommand("templates", example = "template apply large --set rate=20000 --set burst=200000"),
            ListCommand("templates"),
            DeleteCommand("templates"),
        ),
        Group("workspace", "Workspaces.").subcommands(
            WorkspaceCreate(),
            WorkspaceSet(),
            ListCommand("workspaces"),
            DeleteCommand("workspaces"),
        ),
        Group("key", "Keys of workspaces.").subcommands(KeyGrant(), KeyRevoke()),
        Group("route", "Routes from models and services to upstreams.").subcommands(
            ApplyCommand("routes", example = "route apply curator-model --set kind=MODEL --set service=curator-model"),
            ListCommand("routes"),
            DeleteCommand("routes"),
        ),
        Group("upstream", "Upstream replicas.").subcommands(
            ApplyCommand("upstreams", example = "upstream apply decode-3 --file decode-3.json"),
            ListCommand("upstreams"),
            DeleteCommand("upstreams"),
            UpstreamDrain(),
            UpstreamSet(),
            UpstreamStatus(),
        ),
        Group("vm", "VMs that run the daemon.").subcommands(VmDrain(), VmFence()),
        Group("config", "The configuration that VMs hold.").subcommands(ConfigVersions()),
        Status(),
    )
