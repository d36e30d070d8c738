package fireflyhinge.gateway.fleet

import fireflyhinge.forward.ForwardConfig
import fireflyhinge.forward.Replica
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.VmRecord

/** Parses objects of the platform's store. Invalid entries are logged and skipped. */
interface StoreObjectParser {
    /** The configuration, or null if no entry is valid. */
    fun config(items: Collection<StoreItem>): ForwardConfig?

    /** The usable replicas. */
    fun replicas(items: Collection<StoreItem>): List<Replica>

    /** The registered VMs. */
    fun vms(items: Collection<StoreItem>): List<VmRecord>
}
