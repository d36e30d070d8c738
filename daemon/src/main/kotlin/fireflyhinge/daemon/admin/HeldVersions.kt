package fireflyhinge.daemon.admin

/**
 * Versions held by all VMs that are not proven gone.
 *
 * @property complete whether each of them holds at least the version that was asked for or, if none was, whether all
 *   digests are equal.
 */
data class HeldVersions(val complete: Boolean, val vms: List<HeldVersion>)
