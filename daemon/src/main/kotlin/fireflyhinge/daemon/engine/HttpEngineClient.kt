package fireflyhinge.daemon.engine

import com.fasterxml.jackson.module.kotlin.readValue
import fireflyhinge.Json
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineOrder
import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.EngineResult
import fireflyhinge.engine.HeldRequest
import fireflyhinge.engine.ImportRequest
import fireflyhinge.engine.PrefillRequest
import fireflyhinge.engine.PrefillResult
import fireflyhinge.order.OrderTiming
import okhttp3.Request

/**
 * Engines over HTTP. Prefill, import, decode and orders are sent at most once; cancel and reports are idempotent and
 * are tried once more on a new connection. After a decode that broke or that its callback stopped, the engine may hold
 * the request until [cancel].
 *
 * @param reportMillis limit of one attempt of a cancel or a report.
 */
class HttpEngineClient(http: OutboundHttp, private val reportMillis: Long = 1_000) : EngineClient {
    private val calls = EngineCalls(http)

    override fun prefill(address: String, request: PrefillRequest, timeoutMillis: Long): EngineResult<PrefillResult> =
        calls.post(url = calls.url(address, "v1/prefill"), body = request, timeoutMillis = timeoutMillis) {
            Json.decode(it)
        }

    override fun importKv(address: String, request: ImportRequest, timeoutMillis: Long): EngineResult<Unit> =
        calls.post(url = calls.url(address, "v1/kv/import"), body = request, timeoutMillis = timeoutMillis) { }

    override fun decode(
        address: String,
        request: DecodeRequest,
        progressMillis: Long,
        onEvent: (DecodeEvent) -> Boolean,
    ): EngineResult<DecodeEvent.End> {
        val attempt = { newConnection: Boolean ->
            calls.stream(url = calls.url(address, "v1/decode"), request = request, newConnection = newConnection) {
                DecodeSession(reader = it, progressMillis = progressMillis, onEvent = onEvent)
            }
        }
        val first = attempt(false)
        return if ((first as? EngineResult.Failed)?.failure is EngineFailure.Unreachable) attempt(true) else first
    }

    override fun cancel(address: String, id: EngineRequestId): EngineResult<Unit> {
        val target =
            calls
                .url(address, "v1/requests")
                .newBuilder()
                .addPathSegment(id.request)
                .addQueryParameter("attempt", "${id.attempt}")
                .build()
        return calls.repeatable(Request.Builder().url(target).delete().build(), reportMillis) { }
    }

    override fun readLoad(address: String): EngineResult<EngineLoad> = get(address, "v1/load") { Json.decode(it) }

    override fun listHeldRequests(address: String): EngineResult<List<HeldRequest>> =
        get(address, "v1/requests") { Json.mapper.readValue(it) }

    override fun sendOrder(address: String, order: EngineOrder, permitted: () -> Boolean): EngineResult<Unit> {
        val url = calls.url(address, "v1/orders")
        val timeoutMillis = OrderTiming.ORDER_TIMEOUT_MILLIS
        return calls.post(url, body = order, timeoutMillis = timeoutMillis, permitted = permitted) { }
    }

    private fun <T> get(address: String, path: String, decode: (String) -> T): EngineResult<T> =
        calls.repeatable(Request.Builder().url(calls.url(address, path)).build(), reportMillis, decode)
}
