package fireflyhinge.forward

/** Load that a replica reports with a response: running and queued requests, and request slots. */
data class ReplicaLoad(val running: Int, val waiting: Int, val slots: Int)
