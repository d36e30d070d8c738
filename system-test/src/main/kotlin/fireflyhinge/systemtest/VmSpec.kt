package fireflyhinge.systemtest

/**
 * A VM of a fleet under test.
 *
 * @property jvmArguments options of the daemon's JVM.
 * @property late whether the VM is left out at the fleet's start, so that it can join later.
 */
data class VmSpec(
    val id: String,
    val region: String,
    val failureDomain: String,
    val jvmArguments: List<String> = emptyList(),
    val late: Boolean = false,
)
