package fireflyhinge.ctl

import com.fasterxml.jackson.databind.node.ObjectNode
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.associate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import fireflyhinge.Json

/** `workspace create`. */
internal class WorkspaceCreate :
    ChangeCommand(
        "create",
        "Creates a workspace from a template.",
        "workspace create shop --template large --set rate=5000 --set models=curator-model,shopfront --wait",
    ) {
    private val workspace by argument("NAME")
    private val template by option("--template", help = "Name of the template.").required()
    private val parameters by option("--set", metavar = "PARAMETER=VALUE", help = "One parameter; repeatable.")
        .associate()

    override fun run(session: Session) {
        val body = Json.mapper.createObjectNode().put("template", template)
        body.set<ObjectNode>("parameters", Assignments.parse(parameters))
        send(session, ChangeRequest("PUT", "workspaces/$workspace", body.toString()))
    }
}
