package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaState

/** A decode replica chosen for a request. [reservation] is null if the replica does not support reservations. */
internal class DecodeTarget(val state: ReplicaState, val reservation: String?)
