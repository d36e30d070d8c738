package fireflyhinge.idempotency

import fireflyhinge.auth.sha256Hex
import fireflyhinge.store.ObjectName

/**
 * The right to send one non-idempotent call, as the store holds it.
 *
 * @property attempt unique id of the attempt that wrote the claim; it recognizes a write whose reply was lost.
 * @property daemon VM that wrote the claim.
 * @property incarnation incarnation of that VM's process.
 * @property digest hash of the request; a repeat must have the same one.
 * @property answer set when [state] is [ClaimState.DONE].
 */
data class Claim(
    val state: ClaimState,
    val attempt: String,
    val daemon: String,
    val incarnation: Long,
    val digest: String,
    val answer: StoredAnswer? = null,
) {
    /** Names of claims. */
    companion object {
        /** Name of the claim for [key] on [route]. The workspace is part of the name, so that keys never meet. */
        fun nameOf(workspace: String, route: String, key: String): ObjectName =
            ObjectName(kind = "claims", name = "$workspace/" + sha256Hex("$route\u0000$key".toByteArray()))
    }
}
