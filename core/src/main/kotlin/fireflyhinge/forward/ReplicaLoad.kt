package fireflyhinge.forward

/**
 * Load that a replica reports with a response: running and queued requests, and request slots.
 *
 * @property pace how long work currently takes on the replica's machine, in percent of the usual time; null if unknown.
 */
data class ReplicaLoad(val running: Int, val waiting: Int, val slots: Int, val pace: Int? = null)
