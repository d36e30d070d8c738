package fireflyhinge.forward

/**
 * What one VM tells others about crashes of replicas. Times are ages, since the clocks of VMs differ.
 *
 * @property soundAgesMillis time since the newest sound response of any request in a scope.
 */
data class EvidenceReport(
    val traits: List<TraitReport> = emptyList(),
    val soundAgesMillis: Map<String, Long> = emptyMap(),
) {
    /** Whether there is nothing to tell. */
    val empty: Boolean get() = traits.isEmpty()
}
