package fireflyhinge.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option

/** `upstream drain`. */
internal class UpstreamDrain :
    ChangeCommand(
        "drain",
        "Gives an upstream no new work; running requests finish.",
        "upstream drain decode-3 --wait",
    ) {
    private val upstream by argument("NAME")
    private val undo by option("--undo", help = "Puts the upstream back into service.").flag()

    override fun run(session: Session) {
        val query = mapOf("leaving" to (!undo).toString())
        send(session, ChangeRequest("POST", "upstreams/$upstream/drain", query = query))
    }
}
