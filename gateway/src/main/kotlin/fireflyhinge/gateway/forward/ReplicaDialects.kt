package fireflyhinge.gateway.forward

/** How replicas are spoken to: with requests of callers, to reserve places, and to give orders. */
class ReplicaDialects(val requests: ReplicaDialect, val places: PlaceDialect, val orders: OrderDialect)
