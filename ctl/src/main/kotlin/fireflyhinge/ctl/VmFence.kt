package fireflyhinge.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option

/** `vm fence`. */
internal class VmFence :
    ChangeCommand(
        "fence",
        "States that no process of a VM runs any more, so that others take over its work at once.",
        "vm fence vm-3 --wait",
    ) {
    private val vm by argument("ID")
    private val force by option("--force", help = "Fences a VM that still answers.").flag()

    override fun run(session: Session) =
        send(session, ChangeRequest("POST", "vms/$vm/fence", query = mapOf("force" to force.toString())))
}
