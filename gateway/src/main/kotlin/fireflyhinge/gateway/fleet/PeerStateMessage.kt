package fireflyhinge.gateway.fleet

import fireflyhinge.forward.EvidenceReport
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.VmRecord

/**
 * Message between two VMs: the VMs known to the sender, the revisions of its copies of the store's objects, and its
 * recent evidence on crashes.
 */
internal data class PeerStateMessage(
    val vms: List<VmRecord>,
    val revisions: Map<StoreObjectKind, Long>,
    val evidence: EvidenceReport = EvidenceReport(),
)
