package fireflyhinge.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option

/** `vm drain`. */
internal class VmDrain :
    SessionCommand("drain", "Makes a VM take no new callers; running requests finish.", "vm drain vm-3") {
    private val vm by argument("ID")
    private val undo by option("--undo", help = "Lets the VM take callers again.").flag()

    override fun run(session: Session) =
        session.change(ChangeRequest("POST", "vms/$vm/drain", query = mapOf("draining" to "${!undo}")), wait = false)
}
