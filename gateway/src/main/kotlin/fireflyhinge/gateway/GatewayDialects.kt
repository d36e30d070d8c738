package fireflyhinge.gateway

import fireflyhinge.gateway.fleet.FeedDialect
import fireflyhinge.gateway.fleet.PlatformStore
import fireflyhinge.gateway.forward.CallerDialect
import fireflyhinge.gateway.forward.PlaceDialect
import fireflyhinge.gateway.forward.ReplicaDialect
import fireflyhinge.gateway.http.StoreHttp

/** How callers, replicas and the platform speak. [store] makes the client of the platform's store. */
class GatewayDialects(
    val callers: CallerDialect,
    val replicas: ReplicaDialect,
    val places: PlaceDialect,
    val entry: EntryDialect,
    val feeds: FeedDialect,
    val store: (StoreHttp) -> PlatformStore,
)
