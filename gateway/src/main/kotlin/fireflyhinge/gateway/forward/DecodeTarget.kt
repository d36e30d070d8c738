package fireflyhinge.gateway.forward

import fireflyhinge.forward.ReplicaState

/** A decode replica chosen for a request; [reservation] is the place that it keeps, if it keeps places. */
internal class DecodeTarget(val state: ReplicaState, val reservation: String?)
