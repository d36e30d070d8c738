package fireflyhinge.gateway

import fireflyhinge.gateway.fleet.ClaimStore
import fireflyhinge.gateway.fleet.FeedDialect
import fireflyhinge.gateway.fleet.PlatformStore
import fireflyhinge.gateway.forward.CallerDialect
import fireflyhinge.gateway.forward.ReplicaDialects
import fireflyhinge.gateway.http.StoreHttp

/** How callers, replicas and the platform speak. [store] and [claims] make clients of the platform's store. */
class GatewayDialects(
    val callers: CallerDialect,
    val replicas: ReplicaDialects,
    val entry: EntryDialect,
    val feeds: FeedDialect,
    val store: (StoreHttp) -> PlatformStore,
    val claims: (StoreHttp) -> ClaimStore,
)
