package fireflyhinge.daemon.admin

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.store.ObjectName
import io.javalin.config.RoutesConfig
import io.javalin.http.Context

/** Serves [api] over HTTP under `/admin/v1`. */
class AdminRoutes(private val api: AdminApi, private val auth: OperatorAuth) {
    /** Adds all routes to [routes]. */
    fun register(routes: RoutesConfig) {
        listOf("templates" to api.templates, "routes" to api.routes, "upstreams" to api.upstreams).forEach {
            registerObjects(routes, it.first, it.second)
        }
        registerWorkspaces(routes)
        registerVms(routes)
        registerUpstreams(routes)
        routes.get("$ROOT/status") { guarded(it) { Outcome.Success(api.fleet.status()) } }
        routes.get("$ROOT/versions") { guarded(it, ::versions) }
    }

    private fun registerObjects(routes: RoutesConfig, kind: String, admin: ObjectAdmin) {
        routes.get("$ROOT/$kind") { guarded(it) { Outcome.Success(admin.list()) } }
        routes.put("$ROOT/$kind/{name}") { guarded(it) { call -> call.change(admin::apply) } }
        routes.delete("$ROOT/$kind/{name}") { guarded(it) { call -> admin.delete(call.name, call.options) } }
    }

    private fun registerWorkspaces(routes: RoutesConfig) {
        val path = "$ROOT/workspaces/{name}"
        routes.get("$ROOT/workspaces") { guarded(it) { Outcome.Success(api.workspaces.list()) } }
        routes.put(path) { guarded(it) { call -> call.change(api.workspaces::create) } }
        routes.patch(path) { guarded(it) { call -> call.change(api.workspaces::change) } }
        routes.delete(path) { guarded(it) { call -> api.workspaces.delete(call.name, call.options) } }
        routes.post("$path/keys") { guarded(it, ::grant) }
        routes.delete("$path/keys/{hash}") {
            guarded(it) { call -> api.keys.revoke(call.name, call.path("hash"), call.options) }
        }
    }

    private fun registerVms(routes: RoutesConfig) {
        routes.post(
            "$ROOT/vms/{name}/drain"
        ) { guarded(it) { call -> api.vms.drain(call.name, call.flag("draining")) } }
        routes.post("$ROOT/vms/{name}/fence") {
            guarded(it) { call -> api.vms.fence(call.name, call.flag("force", default = false), call.options) }
        }
    }

    private fun registerUpstreams(routes: RoutesConfig) {
        routes.post("$ROOT/upstreams/{name}/drain") {
            guarded(it) { call -> api.drainUpstream(call.name, call.flag("leaving"), call.options) }
        }
        routes.patch("$ROOT/upstreams/{name}") { guarded(it) { call -> call.change(api.orders::set) } }
        routes.get("$ROOT/orders") { guarded(it) { call -> api.orders.status(call.query("upstream")) } }
    }

    private fun grant(call: AdminCall): Outcome<GrantedKey> =
        call.body().then { body ->
            val parsed = if (body.isBlank()) null else StoredJson.parse(body)
            when (parsed) {
                is Outcome.Failure -> parsed
                is Outcome.Success -> api.keys.grant(call.name, parsed.value.path("hash").textValue(), call.options)
                null -> api.keys.grant(call.name, hash = null, options = call.options)
            }
        }

    private fun versions(call: AdminCall): Outcome<HeldVersions> {
        val target = call.query("object")
        val parts = target?.split('/', limit = 2).orEmpty()
        val atLeast = call.query("version")?.toLongOrNull() ?: 1
        return when {
            target == null -> Outcome.Success(api.fleet.versions(target = null, atLeast = 0))
            parts.size != 2 -> Outcome.Failure(ResultCode.INVALID_PARAMETER, "object must be kind/name")
            else -> Outcome.Success(api.fleet.versions(ObjectName(parts.first(), parts.last()), atLeast))
        }
    }

    private fun guarded(ctx: Context, handle: (AdminCall) -> Outcome<Any>) {
        val call = AdminCall(ctx)
        val outcome =
            when {
                !auth.accepts(ctx.header("Authorization")) -> Outcome.Failure(ResultCode.OPERATOR_UNAUTHORIZED)
                !call.validVersion() ->
                    Outcome.Failure(ResultCode.INVALID_PARAMETER, "expected_version must be a number of at least 0")
                else -> handle(call)
            }
        call.reply(outcome)
    }

    private companion object {
        const val ROOT = "/admin/v1"
    }
}
