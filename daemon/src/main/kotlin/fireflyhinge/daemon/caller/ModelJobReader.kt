package fireflyhinge.daemon.caller

import fireflyhinge.auth.Access
import fireflyhinge.auth.Authorizer
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.daemon.http.BodyReader
import fireflyhinge.daemon.http.requestId
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.result.flatMap
import fireflyhinge.result.map
import fireflyhinge.tokens.PromptDigest
import io.javalin.http.Context

/** Reads and checks model requests. */
internal class ModelJobReader(private val ports: CallerPorts, private val bodies: BodyReader) {
    /** The job in [ctx], which came at [arrivedMillis] on the clock of [ports], or the code of what is wrong. */
    fun read(ctx: Context, arrivedMillis: Long): Outcome<ModelJob> {
        val key = Authorizer.keyOf(ctx.header("Authorization"))
        val isolated = ports.membership.isolated()
        val snapshot = ports.config.current()
        // Without a key, only open routes can be used; the body need not be read if there is none.
        if (key == null && snapshot.routes.values.none { it.open && it.kind == RouteKind.MODEL }) {
            return Outcome.Failure(ResultCode.KEY_ABSENT)
        }
        // The key is checked before the body is read, so that only known callers can send large bodies.
        val identity = if (key == null) Outcome.Success(Unit) else Authorizer.identify(snapshot, key, isolated)
        return identity.flatMap {
            bodies.read(ctx)
        }.flatMap { body ->
            ChatRequestParser.parse(body)
        }.flatMap { chat ->
            withoutKey(chat, key)
        }.flatMap { chat ->
            Authorizer
                .authorize(snapshot, chat.model, RouteKind.MODEL, key, isolated)
                .map { job(ctx.requestId(), it, chat, arrivedMillis) }
        }
    }

    /** Engines are upstreams, and no upstream may see a key. */
    private fun withoutKey(chat: ChatRequest, key: String?): Outcome<ChatRequest> {
        val at = chat.messages.indexOfFirst { key != null && key in it.content }
        if (at < 0) return Outcome.Success(chat)
        return Outcome.Failure(ResultCode.INVALID_PARAMETER, "messages[$at].content: contains the API key.")
    }

    private fun job(requestId: String, access: Pair<Access, Route>, chat: ChatRequest, arrived: Long): ModelJob {
        val digest = PromptDigest.of(access.first.scope, chat.model, chat.messages, ports.tokens)
        return ModelJob(requestId, access.first, access.second, chat, digest, arrived)
    }
}
