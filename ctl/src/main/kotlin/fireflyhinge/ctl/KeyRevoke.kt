package fireflyhinge.ctl

import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option

/** `key revoke`. */
internal class KeyRevoke :
    ChangeCommand("revoke", "Revokes a key, given as key or hash.", "key revoke shop --hash 9f86d0.. --wait") {
    private val workspace by argument("WORKSPACE")
    private val hash by option("--hash", help = "SHA-256 hash of the key.")
    private val key by option("--key", envvar = "FIREFLYHINGE_KEY", help = "The key itself.")

    override fun run(session: Session) {
        val target = hash ?: key?.let(Keys::hash) ?: throw UsageError("give --hash or --key")
        send(session, ChangeRequest("DELETE", "workspaces/$workspace/keys/$target"))
    }
}
