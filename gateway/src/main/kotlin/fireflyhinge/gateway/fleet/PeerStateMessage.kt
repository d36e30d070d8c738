package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.EvidenceReport
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.VmRecord

/**
 * Message between two VMs: the VMs known to the sender, the versions of its copies of the store's objects, and its
 * recent evidence on crashes.
 */
internal data class PeerStateMessage(
    val vms: List<VmRecord>,
    val copies: Map<StoreObjectKind, CopyVersion>,
    val evidence: EvidenceReport = EvidenceReport(),
)
