package fireflyhinge.gateway.fleet

import fireflyhinge.forward.ForwardConfig
import fireflyhinge.forward.Replica
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.VmRecord

/** Reads objects of the platform's store. Entries that cannot be read are left out, with a log line. */
interface StoreObjectParser {
    /** The configuration, or null if no entry holds a valid one. */
    fun config(items: Collection<StoreItem>): ForwardConfig?

    /** Replicas that can be used. */
    fun replicas(items: Collection<StoreItem>): List<Replica>

    /** VMs that registered. */
    fun vms(items: Collection<StoreItem>): List<VmRecord>
}
