package fireflyhinge.gateway

import fireflyhinge.gateway.fleet.PlatformStore
import fireflyhinge.gateway.fleet.StoreObjectParser
import fireflyhinge.gateway.forward.CallerProtocol
import fireflyhinge.gateway.forward.ReplicaProtocol
import fireflyhinge.gateway.forward.ReservationProtocol
import fireflyhinge.gateway.http.StoreHttp

/** How callers, replicas and the platform speak. [store] makes the client of the platform's store. */
class GatewayProtocols(
    val callers: CallerProtocol,
    val replicas: ReplicaProtocol,
    val reservations: ReservationProtocol,
    val discovery: DiscoveryProtocol,
    val storeObjects: StoreObjectParser,
    val store: (StoreHttp) -> PlatformStore,
)
