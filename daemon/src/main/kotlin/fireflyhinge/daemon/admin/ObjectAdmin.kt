package fireflyhinge.daemon.admin

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigError
import fireflyhinge.config.ConfigObject
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName

/**
 * Operations that templates, routes and upstreams share.
 *
 * @param held the configuration that this daemon holds.
 * @param check faults that depend on other objects.
 */
class ObjectAdmin(
    private val kind: String,
    private val writer: ObjectWriter,
    private val held: () -> ConfigCopy,
    private val check: (ConfigObject) -> List<ConfigError> = { emptyList() },
) {
    /** Creates or replaces [name] by the JSON object in [body]. */
    fun apply(name: String, body: String, options: ChangeOptions): Outcome<Change> {
        val target = ObjectName(kind, name)
        return StoredJson.parse(body).then { ObjectInput.validate(target, it, options) }.then { (value, text) ->
            val faults = check(value)
            if (faults.isNotEmpty()) {
                ObjectInput.failure(
                    faults
                )
            } else {
                writer.write(target, options) { Outcome.Success(text) }
            }
        }
    }

    /** Replaces [name] by a tombstone, so that no stale copy can bring it back. */
    fun delete(name: String, options: ChangeOptions): Outcome<Change> = edit(name, options) { it.put("deleted", true) }

    /** Changes fields of the present object [name]. */
    internal fun edit(
        name: String,
        options: ChangeOptions,
        change: (com.fasterxml.jackson.databind.node.ObjectNode) -> Unit,
    ): Outcome<Change> {
        val target = ObjectName(kind, name)
        return writer.write(target, options) { current ->
            val tree = current?.takeUnless(StoredJson::absent)?.let(StoredJson::tree)
            if (tree == null) {
                Outcome.Failure(ResultCode.OBJECT_UNKNOWN, target.toString())
            } else {
                tree.put("changeId", options.changeId)
                change(tree)
                ObjectInput.finish(target, tree).then { (_, text) -> Outcome.Success(text) }
            }
        }
    }

    /** Objects of this kind that this daemon holds, with their versions, tombstones left out. */
    fun list(): List<ListedObject> =
        held().stored(kind).filterNot(StoredJson::absent).map {
            ListedObject(it.name.name, it.version, StoredJson.tree(it) ?: invalid(it.value))
        }

    private fun invalid(value: String): JsonNode = Json.mapper.valueToTree(value)
}
