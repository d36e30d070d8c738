package fireflyhinge.auth

import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.ResolvedWorkspace

/**
 * Who a request runs for.
 *
 * @property workspace workspace whose quota and priority apply; null on an open route without a workspace for it.
 * @property keyHash hash of the key that came with the request; null on an open route.
 */
data class Access(val workspace: ResolvedWorkspace?, val keyHash: String?) {
    /** Name under which quota, caches and claims of the request are kept apart from those of others. */
    val scope: String get() = workspace?.name ?: OPEN_WORKSPACE

    /** Whether the key is still granted to the same workspace in [snapshot]. */
    fun stillGranted(snapshot: ConfigSnapshot): Boolean =
        keyHash == null || snapshot.workspaceOfKeyHash(keyHash)?.name == workspace?.name

    /** The name that is reserved for calls without a key. */
    companion object {
        /** Workspace that pays for calls without a key on open routes, if it is configured. */
        const val OPEN_WORKSPACE: String = "open"
    }
}
