package fireflyhinge.ctl

import com.fasterxml.jackson.databind.node.ObjectNode
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.associate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.inputStream
import fireflyhinge.Json

/** Creates or replaces an object of [kind]. */
internal class ApplyCommand(private val kind: String, example: String) :
    ChangeCommand(
        "apply",
        "Creates or replaces an object from a JSON file (- for standard input) and --set.",
        example
    ) {
    private val objectName by argument("NAME")
    private val file by option("--file", help = "JSON file with the whole object.").inputStream()
    private val settings by option("--set", metavar = "FIELD=VALUE", help = "One field or parameter; repeatable.")
        .associate()

    override fun run(session: Session) {
        val text = file?.use { it.readAllBytes().decodeToString() } ?: "{}"
        val tree =
            runCatching { Json.mapper.readTree(text) as? ObjectNode }.getOrNull()
                ?: throw UsageError("--file must hold a JSON object")
        val target = if (kind == "templates") tree.withObject("/parameters") else tree
        target.setAll<ObjectNode>(Assignments.parse(settings))
        send(session, ChangeRequest("PUT", "$kind/$objectName", tree.toString()))
    }
}
