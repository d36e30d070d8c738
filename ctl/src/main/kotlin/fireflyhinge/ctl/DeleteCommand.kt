package fireflyhinge.ctl

import com.github.ajalt.clikt.parameters.arguments.argument

/** Deletes an object of [kind]. */
internal class DeleteCommand(private val kind: String) :
    ChangeCommand("delete", "Deletes an object.", "${kind.dropLast(1)} delete old --wait") {
    private val objectName by argument("NAME")

    override fun run(session: Session) = send(session, ChangeRequest("DELETE", "$kind/$objectName"))
}
