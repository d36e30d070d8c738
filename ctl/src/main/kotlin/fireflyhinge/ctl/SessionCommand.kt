package fireflyhinge.ctl

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.requireObject

/** A command that calls a daemon; failures become messages and exit codes. */
internal abstract class SessionCommand(name: String, private val text: String, private val example: String) :
    CliktCommand(name = name) {
    private val session by requireObject<Session>()

    override fun help(context: Context): String = "$text\n\nExample: `fireflyctl $example`"

    override fun run() {
        try {
            run(session)
        } catch (e: CtlFailure) {
            throw CliktError(e.message, cause = e, statusCode = e.exit.number)
        }
    }

    abstract fun run(session: Session)
}
