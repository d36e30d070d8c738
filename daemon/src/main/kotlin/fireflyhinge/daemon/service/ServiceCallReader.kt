package fireflyhinge.daemon.service

import fireflyhinge.auth.Access
import fireflyhinge.auth.Authorizer
import fireflyhinge.auth.sha256Hex
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.daemon.caller.CallerPorts
import fireflyhinge.daemon.http.BodyReader
import fireflyhinge.daemon.http.requestId
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.result.flatMap
import fireflyhinge.result.map
import io.javalin.http.Context

/** Reads and checks calls of `/services/<route>/<rest>`. */
internal class ServiceCallReader(private val ports: CallerPorts, private val bodies: BodyReader) {
    /** The call in [ctx], or the code of what is wrong with it. */
    fun read(ctx: Context): Outcome<ServiceCall> {
        val path = ctx.req().requestURI.removePrefix(PREFIX)
        val name = path.substringBefore('/')
        val key = Authorizer.keyOf(ctx.header("Authorization"))
        return Authorizer
            .authorize(ports.config.current(), name, RouteKind.SERVICE, key, ports.membership.isolated())
            .flatMap { (access, route) -> checkHead(ctx, route, path.removePrefix(name), key).map { access to route } }
            .flatMap { granted ->
                bodies
                    .read(ctx)
                    .flatMap { withoutKey(it, key) }
                    .map { call(ctx, granted, path.removePrefix(name), key, it) }
            }
    }

    private fun withoutKey(body: ByteArray, key: String?): Outcome<ByteArray> =
        if (key != null && key in String(body, Charsets.ISO_8859_1)) {
            invalid("body: contains the API key.")
        } else {
            Outcome.Success(body)
        }

    private fun checkHead(ctx: Context, route: Route, path: String, key: String?): Outcome<Unit> {
        val idempotencyKey = ctx.header(KEY_HEADER)
        val target = path + ctx.queryString().orEmpty()
        return when {
            // Without the key the call could mean something else to the upstream, so it is not cut out.
            key != null && KeyGuard.carries(target, key) -> invalid("path or query: contains the API key.")
            path.split('/').any { it in DOT_SEGMENTS } -> invalid("path: contains a dot segment.")
            idempotencyKey != null && !validKey(idempotencyKey) ->
                invalid("$KEY_HEADER: must have 1 to $MAX_KEY visible characters.")
            !route.idempotent && route.idempotencyKeyRequired && idempotencyKey == null ->
                Outcome.Failure(ResultCode.IDEMPOTENCY_KEY_REQUIRED)
            else -> Outcome.Success(Unit)
        }
    }

    private fun call(
        ctx: Context,
        granted: Pair<Access, Route>,
        path: String,
        key: String?,
        body: ByteArray,
    ): ServiceCall {
        val names = ctx.req().headerNames.asSequence()
        val headers = names.flatMap { name -> ctx.req().getHeaders(name).asSequence().map { name to it } }
        val request =
            ServiceRequest(
                method = ctx.req().method,
                path = path.ifEmpty { "/" },
                query = ctx.queryString(),
                headers = HeaderRules.toUpstream(headers.toList(), key) + ("X-Request-Id" to ctx.requestId()),
                body = body,
            )
        return ServiceCall(
            requestId = ctx.requestId(),
            access = granted.first,
            route = granted.second,
            request = request,
            idempotencyKey = ctx.header(KEY_HEADER),
            digest = digest(request, ctx.header("Content-Type").orEmpty()),
        )
    }

    private fun digest(request: ServiceRequest, type: String): String {
        val head = listOf(request.method, request.path, request.query.orEmpty(), type)
        return sha256Hex(head.joinToString("\u0000", postfix = "\u0000").toByteArray() + request.body)
    }

    private fun validKey(key: String) = key.length in 1..MAX_KEY && key.all { it in VISIBLE }

    private fun invalid(detail: String) = Outcome.Failure(ResultCode.INVALID_PARAMETER, detail)

    private companion object {
        const val PREFIX = "/services/"
        const val KEY_HEADER = "Idempotency-Key"
        const val MAX_KEY = 255
        val VISIBLE = '!'..'~'
        val DOT_SEGMENTS = setOf(".", "..", "%2e", "%2E", "%2e%2e", "%2E%2E", ".%2e", ".%2E", "%2e.", "%2E.")
    }
}
