package fireflyhinge.ctl

import com.fasterxml.jackson.databind.node.ObjectNode
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import fireflyhinge.Json

/** `upstream set`. */
internal class UpstreamSet :
    ChangeCommand(
        "set",
        "Sets the desired state of an upstream's engine; the owner of its cell gives the orders.",
        "upstream set decode-3 --models curator-model --model-version 2026-11 --expect-version 41",
    ) {
    private val upstream by argument("NAME")
    private val role by option("--role", help = "PREFILL or DECODE.").choice("PREFILL", "DECODE", ignoreCase = true)
    private val models by option("--models", metavar = "NAMES", help = "All models to be loaded, by commas.")
    private val adapters by option("--adapters", metavar = "NAMES", help = "All adapters to be loaded, by commas.")
    private val version by option("--model-version", metavar = "VERSION", help = "Version of the weights.")
    private val cleared by option("--clear", metavar = "FIELD", help = "Unsets a field; repeatable.")
        .choice("models", "adapters", "modelVersion")
        .multiple()

    override fun run(session: Session) {
        val body = Json.mapper.createObjectNode()
        role?.let { body.put("role", it) }
        models?.let { body.set<ObjectNode>("models", Json.mapper.valueToTree(names(it))) }
        adapters?.let { body.set<ObjectNode>("adapters", Json.mapper.valueToTree(names(it))) }
        version?.let { body.put("modelVersion", it) }
        cleared.forEach(body::putNull)
        if (body.isEmpty) throw UsageError("name at least one field of the desired state")
        send(session, ChangeRequest("PATCH", "upstreams/$upstream", body.toString()))
    }

    private fun names(text: String): List<String> = text.split(',').map { it.trim() }.filter { it.isNotEmpty() }
}
