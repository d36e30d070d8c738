package fireflyhinge.idempotency

import fireflyhinge.auth.sha256Hex
import fireflyhinge.store.ObjectName

/**
 * The exclusive right to send one non-idempotent call, as stored in the platform store.
 *
 * @property attempt unique id of the attempt that wrote the claim; it identifies a write whose response was lost.
 * @property daemon VM that wrote the claim.
 * @property incarnation incarnation of that VM's process.
 * @property digest hash of the request; a retry must have the same one.
 * @property answer set when [state] is [ClaimState.DONE].
 */
data class Claim(
    val state: ClaimState,
    val attempt: String,
    val daemon: String,
    val incarnation: Long,
    val digest: String,
    val answer: StoredResponse? = null,
) {
    /** Names of claims in the store. */
    companion object {
        /**
         * Name of the claim for [key] on [route]. It contains the workspace, so that equal keys of two workspaces do
         * not collide.
         */
        fun nameOf(workspace: String, route: String, key: String): ObjectName =
            ObjectName(kind = "claims", name = "$workspace/" + sha256Hex("$route\u0000$key".toByteArray()))
    }
}
