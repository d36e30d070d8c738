package fireflyhinge.systemtest

import fireflyhinge.store.VmEntry
import java.net.InetAddress
import java.net.ServerSocket

/** An address on loopback whose port is free at the moment. */
internal fun freeAddress(): String =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { "127.0.0.1:${it.localPort}" }

/** Entry of [vm] in the platform's list, with free addresses. */
internal fun entry(vm: VmSpec): VmEntry =
    VmEntry(vm.id, vm.region, vm.failureDomain, callerAddress = freeAddress(), controlAddress = freeAddress())
