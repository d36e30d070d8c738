package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CrashEvidence
import fireflyhinge.forward.ForwardConfig
import fireflyhinge.forward.QuotaShares
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler
import fireflyhinge.gateway.http.ResponseWriter
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import org.slf4j.LoggerFactory
import java.io.IOException

/** Serves the control interface for other VMs. */
internal class ControlHandler(
    private val gossip: Gossip,
    private val mirrors: List<StoreMirror>,
    private val copies: CopyExchange,
    private val quota: QuotaShares,
    private val evidence: CrashEvidence,
    private val config: () -> ForwardConfig?,
) : RequestHandler {
    private val log = LoggerFactory.getLogger(javaClass)

    override suspend fun handle(request: CallerRequest, response: ResponseWriter) {
        val body =
            try {
                reply(request)
            } catch (e: IOException) {
                log.atWarn().addKeyValue("path", request.uri).addKeyValue("reason", e.message)
                    .log("malformed message from another VM; answered with status 400")
                return response.respond(BAD_REQUEST, DefaultHttpHeaders(), ByteArray(0))
            }
        if (body == null) return response.respond(NOT_FOUND, DefaultHttpHeaders(), ByteArray(0))
        response.respond(OK, DefaultHttpHeaders().add(HttpHeaderNames.CONTENT_TYPE, "application/json"), body)
    }

    private fun reply(request: CallerRequest): ByteArray? =
        when {
            request.uri == Gossip.EXCHANGE_PATH ->
                PeerMessages.encode(gossip.received(PeerMessages.exchange(request.body)))
            request.uri == LoadBroadcaster.PATH -> EMPTY.also { gossip.received(PeerMessages.exchange(request.body)) }
            request.uri == CopyExchange.PATH ->
                PeerMessages.encode(PeerStateMessage(emptyList(), copies.versions()))
            request.uri == PeerQuotaBorrower.PATH -> lend(request.body)
            request.uri == PeerQuotaBorrower.REPAY_PATH -> EMPTY.also { acceptRepayment(request.body) }
            request.uri == EvidenceBroadcaster.PATH -> EMPTY.also { evidence.merge(EvidenceCodec.decode(request.body)) }
            request.uri.startsWith(Gossip.FEED_PATH) ->
                mirrors.find { it.kind.name == request.uri.removePrefix(Gossip.FEED_PATH) }?.let {
                    PeerMessages.encode(it.state.listing())
                }
            else -> null
        }

    private fun lend(body: ByteArray): ByteArray {
        val (workspace, tokens) = PeerMessages.loan(body)
        val lent = config()?.workspaces?.get(workspace)?.let { quota.lend(it, tokens) } ?: 0.0
        return PeerMessages.encodeLoan(workspace, lent, quota.young)
    }

    private fun acceptRepayment(body: ByteArray) {
        val (workspace, tokens) = PeerMessages.loan(body)
        config()?.workspaces?.get(workspace)?.let { quota.add(it, tokens, returned = true) }
    }

    private companion object {
        val EMPTY = ByteArray(0)
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
    }
}
