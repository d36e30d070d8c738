package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.forward.VmRecord

/** What two VMs tell each other: who runs, and how new their copies of the store's objects are. */
internal data class PeerStateMessage(val vms: List<VmRecord>, val revisions: Map<StoreObjectKind, Long>)
