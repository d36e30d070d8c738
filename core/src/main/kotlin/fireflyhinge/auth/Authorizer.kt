package fireflyhinge.auth

import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** Determines the workspace of a request and whether it may use its route. */
object Authorizer {
    private const val SCHEME = "Bearer "

    /** The key in an `Authorization` header, or null when there is none. */
    fun keyOf(authorization: String?): String? =
        authorization
            ?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }
            ?.substring(SCHEME.length)
            ?.trim()
            ?.ifEmpty { null }

    /**
     * Access of a request with [key] to the route [name] of [kind]. [isolated] is true if this VM may have missed
     * the withdrawal of a key. A key is also checked on open routes, so that a withdrawn key never works.
     */
    fun authorize(
        snapshot: ConfigSnapshot,
        name: String,
        kind: RouteKind,
        key: String?,
        isolated: Boolean,
    ): Outcome<Pair<Access, Route>> {
        val route = snapshot.routes[name]?.takeIf { it.kind == kind }
        if (key == null && route?.open == true) {
            return Outcome.Success(Access(snapshot.workspaces[Access.OPEN_WORKSPACE], keyHash = null) to route)
        }
        return when (val identified = identify(snapshot, key, isolated)) {
            is Outcome.Failure -> identified
            is Outcome.Success -> authorizeRoute(identified.value, route, kind, name)
        }
    }

    /** The workspace that [key] belongs to. */
    fun identify(snapshot: ConfigSnapshot, key: String?, isolated: Boolean): Outcome<Access> {
        if (key == null) return Outcome.Failure(ResultCode.KEY_ABSENT)
        val hash = keyHash(key)
        val workspace = snapshot.workspaceOfKeyHash(hash) ?: return Outcome.Failure(ResultCode.KEY_UNKNOWN)
        if (isolated && !workspace.serveWhenIsolated) return Outcome.Failure(ResultCode.VM_ISOLATED)
        return Outcome.Success(Access(workspace, hash))
    }

    private fun authorizeRoute(
        access: Access,
        route: Route?,
        kind: RouteKind,
        name: String,
    ): Outcome<Pair<Access, Route>> =
        when {
            route == null -> Outcome.Failure(unknownRouteCode(kind), detail = "Name: $name.")
            route.open || name in access.workspace?.models.orEmpty() -> Outcome.Success(access to route)
            else -> Outcome.Failure(ResultCode.MODEL_NOT_ALLOWED, detail = "Name: $name.")
        }

    private fun unknownRouteCode(kind: RouteKind): ResultCode =
        if (kind == RouteKind.MODEL) ResultCode.UNKNOWN_MODEL else ResultCode.UNKNOWN_ROUTE
}
