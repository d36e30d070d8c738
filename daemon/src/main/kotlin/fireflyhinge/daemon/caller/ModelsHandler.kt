package fireflyhinge.daemon.caller

import fireflyhinge.auth.Authorizer
import fireflyhinge.config.RouteKind
import fireflyhinge.daemon.http.fail
import fireflyhinge.result.Outcome
import io.javalin.http.Context
import io.javalin.http.Handler

/** `GET /v1/models`: the models that the caller may use. Without a key these are the open ones. */
internal class ModelsHandler(private val ports: CallerPorts) : Handler {
    override fun handle(ctx: Context) {
        val snapshot = ports.config.current()
        val models = snapshot.routes.values.filter { it.kind == RouteKind.MODEL }
        val key = Authorizer.keyOf(ctx.header("Authorization"))
        val open = models.filter { it.open }.map { it.name }
        if (key == null && open.isNotEmpty()) return answer(ctx, open)
        when (val access = Authorizer.identify(snapshot, key, ports.membership.isolated())) {
            is Outcome.Failure -> ctx.fail(access)
            is Outcome.Success -> {
                val allowed = access.value.workspace?.models.orEmpty()
                answer(ctx, models.filter { it.open || it.name in allowed }.map { it.name })
            }
        }
    }

    private fun answer(ctx: Context, names: List<String>) {
        val data = names.sorted().map { mapOf("id" to it, "object" to "model", "owned_by" to "fireflyhinge") }
        ctx.json(mapOf("object" to "list", "data" to data))
    }
}
