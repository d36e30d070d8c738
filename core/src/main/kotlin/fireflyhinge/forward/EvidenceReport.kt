package fireflyhinge.forward

/**
 * What one VM tells others about crashes of replicas. Times are ages, since the clocks of VMs differ.
 *
 * @property soundAgesMillis for each scope the time since recent sound responses began, by an id of the response.
 */
data class EvidenceReport(
    val traits: List<TraitReport> = emptyList(),
    val soundAgesMillis: Map<String, Map<String, Long>> = emptyMap(),
) {
    /** Whether there is nothing to tell. */
    val empty: Boolean get() = traits.isEmpty()
}
