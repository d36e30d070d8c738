package fireflyhinge.gateway.forward

import fireflyhinge.forward.RepeatShares
import fireflyhinge.forward.ReplicaChooser
import fireflyhinge.forward.RequestMixes

/** What is shared by all requests when replicas are chosen for them. */
internal class ReplicaPools(val chooser: ReplicaChooser, val repeats: RepeatShares, val mixes: RequestMixes)
