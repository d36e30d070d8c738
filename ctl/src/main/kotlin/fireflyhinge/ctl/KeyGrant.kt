package fireflyhinge.ctl

import com.github.ajalt.clikt.parameters.arguments.argument
import fireflyhinge.Json

/** `key grant`. */
internal class KeyGrant :
    ChangeCommand(
        "grant",
        "Grants a new random key. It is printed this once; the system keeps only its SHA-256 hash.",
        "key grant shop --wait",
    ) {
    private val workspace by argument("WORKSPACE")

    override fun run(session: Session) {
        val key = Keys.generate()
        val body = Json.mapper.createObjectNode().put("hash", Keys.hash(key)).toString()
        send(session, ChangeRequest("POST", "workspaces/$workspace/keys", body), extra = mapOf("key" to key)) {
            "key  ${it.path("key").asText()}\nhash ${it.path("hash").asText()}"
        }
    }
}
