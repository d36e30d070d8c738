package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.VmRecord

/** Message between two VMs: the VMs known to the sender, and the revisions of its copies of the store's objects. */
internal data class PeerStateMessage(val vms: List<VmRecord>, val revisions: Map<StoreObjectKind, Long>)
