package fireflyhinge.ctl

import com.fasterxml.jackson.databind.node.ObjectNode
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.associate
import com.github.ajalt.clikt.parameters.options.option
import fireflyhinge.Json

/** `workspace set`. */
internal class WorkspaceSet :
    ChangeCommand(
        "set",
        "Changes parameters of a workspace; the value null takes the template's value again.",
        "workspace set shop --set rate=8000 --set burst=null --wait",
    ) {
    private val workspace by argument("NAME")
    private val template by option("--template", help = "Another template.")
    private val parameters by option("--set", metavar = "PARAMETER=VALUE", help = "One parameter; repeatable.")
        .associate()

    override fun run(session: Session) {
        val body = Json.mapper.createObjectNode()
        template?.let { body.put("template", it) }
        body.set<ObjectNode>("parameters", Assignments.parse(parameters))
        send(session, ChangeRequest("PATCH", "workspaces/$workspace", body.toString()))
    }
}
