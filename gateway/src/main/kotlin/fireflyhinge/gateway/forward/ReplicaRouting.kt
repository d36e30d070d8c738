package fireflyhinge.gateway.forward

import fireflyhinge.forward.RepeatShares
import fireflyhinge.forward.ReplicaChooser
import fireflyhinge.forward.ReplicaTable

/** What is needed to choose replicas and to repeat sends. */
internal class ReplicaRouting(val table: ReplicaTable, val selector: ReplicaChooser, val retries: RepeatShares)
