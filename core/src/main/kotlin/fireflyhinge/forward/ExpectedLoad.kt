package fireflyhinge.forward

/**
 * Load that a replica is expected to have now.
 *
 * @property fill running and queued requests per slot.
 * @property pace time for a unit of work relative to the usual one of the replica's machine.
 */
class ExpectedLoad(val fill: Double, val pace: Double)
