package fireflyhinge.ctl

import com.fasterxml.jackson.databind.JsonNode
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional

/** `upstream status`. */
internal class UpstreamStatus :
    SessionCommand(
        "status",
        "Shows the desired and the reported state of engines, progress and last refusal.",
        "upstream status decode-3",
    ) {
    private val upstream by argument("NAME").optional()

    override fun run(session: Session) {
        val query = listOfNotNull(upstream?.let { "upstream" to it }).toMap()
        session.show(session.client.call("GET", "admin/v1/orders", query)) { answer ->
            answer.joinToString("\n", transform = ::describe)
        }
    }

    private fun describe(status: JsonNode): String {
        val progress = status.path("progress")
        val known = progress.isObject
        val phase = if (known) progress.path("phase").asText() else "NO_OWNER"
        val lines =
            listOfNotNull(
                "${status.path("name").asText()}  version ${status.path("version").asLong()}  $phase",
                "  desired   ${state(status.path("desired"))}",
                "  reported  ${state(progress.path("reported"))}".takeIf { known },
                "  order     ${text(progress, "order")} (token ${progress.path("token").asLong()})"
                    .takeIf { progress.hasNonNull("order") },
                "  refused   ${text(progress, "lastRefusal")} (${progress.path("refusalAgeMillis").asLong()} ms ago)"
                    .takeIf { progress.hasNonNull("lastRefusal") },
                "  owner     ${text(progress, "owner")}".takeIf { known },
            )
        return lines.joinToString("\n")
    }

    private fun state(state: JsonNode): String =
        listOf("role", "models", "adapters", "modelVersion").filter(state::hasNonNull)
            .joinToString("  ") { "$it=${value(state.path(it))}" }.ifEmpty { "not known" }

    private fun value(value: JsonNode): String =
        if (value.isArray) value.joinToString(",", "[", "]") { it.asText() } else value.asText()

    private fun text(tree: JsonNode, field: String): String = tree.path(field).asText()
}
