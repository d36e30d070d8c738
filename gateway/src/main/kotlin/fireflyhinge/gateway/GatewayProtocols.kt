package fireflyhinge.gateway

import fireflyhinge.gateway.fleet.PlatformStore
import fireflyhinge.gateway.fleet.StoreObjectParser
import fireflyhinge.gateway.forward.CallerProtocol
import fireflyhinge.gateway.forward.ReplicaProtocol
import fireflyhinge.gateway.forward.ReservationProtocol
import fireflyhinge.gateway.http.StoreHttpClient

/** Protocols of callers, replicas and the platform. [store] creates the client of the platform's store. */
class GatewayProtocols(
    val callers: CallerProtocol,
    val replicas: ReplicaProtocol,
    val reservations: ReservationProtocol,
    val discovery: DiscoveryProtocol,
    val storeObjects: StoreObjectParser,
    val store: (StoreHttpClient) -> PlatformStore,
)
