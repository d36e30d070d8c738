package fireflyhinge.systemtest

/** A VM of a fleet under test. */
data class VmSpec(val id: String, val region: String, val failureDomain: String)
