package fireflyhinge.ctl

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import java.util.UUID

/**
 * Options that all commands share.
 *
 * @property print receives each line of output.
 */
class Session(
    val client: AdminClient,
    private val json: Boolean,
    private val waitMillis: Long,
    private val print: (String) -> Unit,
    private val pause: (Long) -> Unit = Thread::sleep,
) {
    /** Prints [answer] as JSON or in the form that [describe] gives it. */
    fun show(answer: JsonNode, describe: (JsonNode) -> String) = print(
        if (json) answer.toString() else describe(answer)
    )

    /**
     * Sends one change under a new change id, prints the answer with the [extra] fields and, if [wait] is set, waits
     * until every VM holds the change.
     */
    fun change(
        request: ChangeRequest,
        wait: Boolean,
        extra: Map<String, String> = emptyMap(),
        describe: (JsonNode) -> String = ::describeChange,
    ) {
        val query = request.query + ("change_id" to UUID.randomUUID().toString())
        val answer = client.call(request.method, "admin/v1/${request.path}", query, request.body)
        (answer as? ObjectNode)?.let { tree -> extra.forEach { (name, value) -> tree.put(name, value) } }
        show(answer, describe)
        val change = if (answer.has("change")) answer.path("change") else answer
        if (wait && change.has("object")) waitFor(change.path("object").asText(), change.path("version").asLong())
    }

    /** Waits until every VM holds at least [version] of [target]. */
    fun waitFor(target: String, version: Long) {
        val query = mapOf("object" to target, "version" to version.toString())
        waitUntil(query) { "version $version of $target" }
    }

    /** Waits until the versions that [query] asks for are held by every VM. */
    fun waitUntil(query: Map<String, String>, what: () -> String) {
        val end = System.nanoTime() + waitMillis * NANOS_PER_MILLI
        var answer = versions(query)
        while (!answer.path("complete").asBoolean()) {
            if (System.nanoTime() >= end) throw timedOut(answer, query, what())
            pause(POLL_MILLIS)
            answer = versions(query)
        }
        if (!json) print("held by all ${answer.path("vms").size()} VMs")
    }

    /** Versions held by all VMs. */
    fun versions(query: Map<String, String>): JsonNode = client.call("GET", "admin/v1/versions", query)

    private fun timedOut(answer: JsonNode, query: Map<String, String>, what: String): CtlFailure {
        val wanted = query["version"]?.toLong() ?: 0
        val behind =
            answer.path("vms").filter { it.path("digest").isNull || it.path("version").asLong() < wanted }
                .joinToString { "${it.path("vm").asText()} (${it.path("state").asText()})" }
        return CtlFailure(ExitCode.WAIT_TIMED_OUT, "$what is not held after $waitMillis ms by: $behind")
    }

    companion object {
        private const val POLL_MILLIS = 200L
        private const val NANOS_PER_MILLI = 1_000_000L

        /** One line on a confirmed change. */
        fun describeChange(answer: JsonNode): String =
            if (answer.has("object")) {
                "${answer.path("object").asText()} version ${answer.path("version").asLong()}"
            } else {
                "accepted"
            }
    }
}
