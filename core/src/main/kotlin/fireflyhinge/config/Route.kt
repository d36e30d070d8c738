package fireflyhinge.config

/**
 * A route from a model name or a service name to upstreams.
 *
 * @property service value of [Upstream.service] that serves the route.
 * @property open true if calls need no key.
 * @property idempotent whether a call may be sent more than once; may be false only for plain services.
 * @property idempotencyKeyRequired whether a non-idempotent call must carry an `Idempotency-Key` header.
 * @property costTokens tokens that one call to a plain service is charged against the workspace's quota.
 */
data class Route(
    override val name: String,
    val kind: RouteKind,
    val service: String,
    val open: Boolean = false,
    val idempotent: Boolean = true,
    val idempotencyKeyRequired: Boolean = true,
    val costTokens: Double = 1.0,
    override val changeId: String = "",
    override val deleted: Boolean = false,
) : ConfigObject
