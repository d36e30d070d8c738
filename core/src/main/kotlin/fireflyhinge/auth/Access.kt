package fireflyhinge.auth

import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.ResolvedWorkspace

/**
 * On whose behalf a request runs.
 *
 * @property workspace workspace whose quota and priority apply; null on an open route if the open workspace is not
 * configured.
 * @property keyHash hash of the key that came with the request; null on an open route.
 */
data class Access(val workspace: ResolvedWorkspace?, val keyHash: String?) {
    /** Scope that separates the quota, caches and claims of the request from those of other workspaces. */
    val scope: String get() = workspace?.name ?: OPEN_WORKSPACE

    /** Whether the key is still granted to the same workspace in [snapshot]. */
    fun stillGranted(snapshot: ConfigSnapshot): Boolean =
        keyHash == null || snapshot.workspaceOfKeyHash(keyHash)?.name == workspace?.name

    /** The reserved workspace name for calls without a key. */
    companion object {
        /** Workspace that is charged for calls without a key on open routes, if it is configured. */
        const val OPEN_WORKSPACE: String = "open"
    }
}
