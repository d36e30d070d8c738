package fireflyhinge.daemon.admin

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigKinds
import fireflyhinge.config.ObjectDecoder
import fireflyhinge.config.Template
import fireflyhinge.config.TemplateResolver
import fireflyhinge.config.Workspace
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.result.map
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject

/** Operations on workspaces. */
class WorkspaceAdmin(private val writer: ObjectWriter, held: () -> ConfigCopy) {
    private val objects = ObjectAdmin(ConfigKinds.WORKSPACES, writer, held)

    /** Creates workspace [name] from `{"template": .., "parameters": {..}}`; fails if it exists. */
    fun create(name: String, body: String, options: ChangeOptions): Outcome<Change> {
        val target = ObjectName(ConfigKinds.WORKSPACES, name)
        return StoredJson.parse(body).then { ObjectInput.validate(target, it, options) }.then { (value, text) ->
            checkTemplate(value as Workspace).then {
                writer.write(target, options) { current ->
                    if (StoredJson.absent(current)) Outcome.Success(text) else exists(target, checkNotNull(current))
                }
            }
        }
    }

    /** Changes the parameters (null takes the template's value again) and the template that [body] names. */
    fun change(name: String, body: String, options: ChangeOptions): Outcome<Change> {
        val target = ObjectName(ConfigKinds.WORKSPACES, name)
        return StoredJson.parse(body).then { patch ->
            writer.write(target, options) { current ->
                val tree = current?.takeUnless(StoredJson::absent)?.let(StoredJson::tree)
                if (tree == null) {
                    Outcome.Failure(ResultCode.OBJECT_UNKNOWN, target.toString())
                } else {
                    patched(target, tree, patch, options)
                }
            }
        }
    }

    /** Replaces [name] by a tombstone without keys. */
    fun delete(name: String, options: ChangeOptions): Outcome<Change> =
        objects.edit(name, options) {
            it.put("deleted", true)
            it.putArray("keyHashes")
        }

    /** Workspaces that this daemon holds. */
    fun list(): List<ListedObject> = objects.list()

    private fun patched(
        target: ObjectName,
        tree: ObjectNode,
        patch: ObjectNode,
        options: ChangeOptions,
    ): Outcome<String> {
        val merged = tree.deepCopy()
        val keys = merged.remove("keyHashes")
        merged.remove(listOf("changeId", "deleted"))
        patch.properties().forEach { (field, value) -> merge(merged, field, value) }
        return ObjectInput.validate(target, merged, options)
            .then { (_, text) -> StoredJson.parse(text) }
            .then { valid -> ObjectInput.finish(target, valid.apply { keys?.let { replace("keyHashes", it) } }) }
            .then { (value, text) -> checkTemplate(value as Workspace).map { text } }
    }

    private fun merge(target: ObjectNode, field: String, value: JsonNode) {
        val held = target.get(field)
        if (held is ObjectNode && value is ObjectNode) held.setAll<JsonNode>(value) else target.replace(field, value)
    }

    /** The template is read from the store, since this daemon's copy may not have it yet. */
    private fun checkTemplate(workspace: Workspace): Outcome<Unit> {
        val name = ObjectName(ConfigKinds.TEMPLATES, workspace.template)
        return writer.read(name).then { stored ->
            val template = stored?.let { ObjectDecoder.decode(name.kind, it.value).value } as? Template
            val faults = template?.let { TemplateResolver.errors(workspace, it) }.orEmpty()
            when {
                template == null || template.deleted -> Outcome.Failure(ResultCode.OBJECT_UNKNOWN, name.toString())
                faults.isNotEmpty() -> ObjectInput.failure(faults)
                else -> Outcome.Success(Unit)
            }
        }
    }

    private fun exists(target: ObjectName, current: StoredObject) =
        Outcome.Failure(ResultCode.VERSION_CONFLICT, "$target exists with version ${current.version}")
}
