package fireflyhinge.ctl

import com.fasterxml.jackson.databind.JsonNode
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long

/** A command that changes an object. */
internal abstract class ChangeCommand(name: String, text: String, example: String) :
    SessionCommand(name, text, example) {
    private val wait by option("--wait", help = "Return once every VM holds the change.").flag()
    private val expected by option(
        "--expect-version",
        help = "Fail with exit code 3 unless the object has this version (0: absent).",
    ).long()

    protected fun send(
        session: Session,
        request: ChangeRequest,
        extra: Map<String, String> = emptyMap(),
        describe: (JsonNode) -> String = Session::describeChange,
    ) {
        val query = request.query + listOfNotNull(expected?.let { "expected_version" to it.toString() })
        session.change(request.copy(query = query), wait, extra, describe)
    }
}
