package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.EvidenceReport
import fireflyhinge.forward.PrefillRate
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.VmRecord

/**
 * Message between two VMs: the VMs known to the sender, the versions of its copies of the store's objects, its recent
 * evidence on crashes, and the prefill rates of replicas by id.
 */
internal data class PeerStateMessage(
    val vms: List<VmRecord>,
    val copies: Map<StoreObjectKind, CopyVersion>,
    val evidence: EvidenceReport = EvidenceReport(),
    val prefillRates: Map<String, PrefillRate> = emptyMap(),
)
