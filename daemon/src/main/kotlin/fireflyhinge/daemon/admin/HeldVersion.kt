package fireflyhinge.daemon.admin

import fireflyhinge.membership.MemberState

/**
 * What one VM holds.
 *
 * @property version version of the object that was asked for, 0 if the VM has none, null if it did not answer.
 * @property digest digest of its whole configuration, null if it did not answer.
 */
data class HeldVersion(val vm: String, val state: MemberState, val version: Long?, val digest: String?)
