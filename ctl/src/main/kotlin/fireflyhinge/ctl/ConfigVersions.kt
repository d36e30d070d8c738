package fireflyhinge.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long

/** `config versions`. */
internal class ConfigVersions :
    SessionCommand(
        "versions",
        "Shows what each VM holds: the version of one object, or the digest of the whole configuration.",
        "config versions workspaces/shop --version 42 --wait",
    ) {
    private val target by argument("KIND/NAME").optional()
    private val version by option("--version", help = "Version that every VM must hold.").long()
    private val wait by option("--wait", help = "Return once every VM holds the version or the same digest.").flag()

    override fun run(session: Session) {
        val query =
            listOfNotNull(target?.let { "object" to it }, version?.let { "version" to it.toString() }).toMap()
        if (wait) session.waitUntil(query) { "the configuration" }
        session.show(session.versions(query)) { answer ->
            answer.path("vms").joinToString("\n") {
                val held = if (target == null) it.path("digest") else it.path("version")
                "${it.path("vm").asText()}  ${it.path("state").asText()}  ${held.asText("no answer")}"
            }
        }
    }
}
