package fireflyhinge.forward

/** Load that a replica reports with an answer: requests that run, requests that wait, and places. */
data class ReplicaLoad(val running: Int, val waiting: Int, val slots: Int)
