package fireflyhinge.daemon.admin

import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigKinds
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.result.map
import fireflyhinge.store.ObjectName

/** Grants and revokes keys. */
class KeyAdmin(private val writer: ObjectWriter, private val held: () -> ConfigCopy) {
    private val hashPattern = Regex("[0-9a-f]{64}")

    /** Grants the key with [hash] to [workspace]; null lets this daemon generate a key. */
    fun grant(workspace: String, hash: String?, options: ChangeOptions): Outcome<GrantedKey> {
        val key = if (hash == null) ApiKey.generate() else null
        val granted = hash ?: ApiKey.hash(checkNotNull(key))
        val owner = held().snapshot.workspaceOfKeyHash(granted)?.name
        return when {
            !hashPattern.matches(granted) -> invalid("hash must be 64 lower-case hexadecimal digits")
            owner != null && owner != workspace -> invalid("the key is granted to another workspace")
            else -> edit(workspace, options) { it + granted }.map { GrantedKey(key, granted, it) }
        }
    }

    /** Revokes the key with [hash]. */
    fun revoke(workspace: String, hash: String, options: ChangeOptions): Outcome<Change> =
        edit(workspace, options) { hashes -> (hashes - hash).takeIf { hash in hashes } }

    private fun edit(
        workspace: String,
        options: ChangeOptions,
        change: (Set<String>) -> Set<String>?,
    ): Outcome<Change> {
        val target = ObjectName(ConfigKinds.WORKSPACES, workspace)
        return writer.write(target, options) { current ->
            val tree = current?.takeUnless(StoredJson::absent)?.let(StoredJson::tree)
            val hashes = tree?.path("keyHashes")?.map { it.asText() }.orEmpty().toSet()
            when (val changed = tree?.let { change(hashes) }) {
                null -> Outcome.Failure(ResultCode.OBJECT_UNKNOWN, if (tree == null) "$target" else "key of $target")
                else -> finish(target, tree, changed, options)
            }
        }
    }

    private fun finish(
        target: ObjectName,
        tree: ObjectNode,
        hashes: Set<String>,
        options: ChangeOptions,
    ): Outcome<String> {
        tree.put("changeId", options.changeId)
        tree.putArray("keyHashes").apply { hashes.sorted().forEach(::add) }
        return ObjectInput.finish(target, tree).map { it.second }
    }

    private fun invalid(detail: String) = Outcome.Failure(ResultCode.OBJECT_INVALID, detail)
}
