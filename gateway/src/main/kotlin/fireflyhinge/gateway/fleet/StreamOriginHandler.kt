package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StreamOrigins
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler

/** Serves the messages about where streams began on the control interface. */
internal class StreamOriginHandler(
    private val origins: StreamOrigins,
    private val exchange: StreamOriginExchange,
    next: RequestHandler,
) : PrefixHandler(StreamOriginExchange.TELL_PATH, next) {
    override suspend fun reply(request: CallerRequest): ByteArray? =
        when (request.uri) {
            StreamOriginExchange.TELL_PATH -> EMPTY.also { origins.told(StreamOriginCodec.decode(request.body)) }
            StreamOriginExchange.ASK_PATH ->
                StreamOriginCodec.encode(exchange.answer(StreamOriginCodec.decodeIds(request.body)))
            else -> null
        }
}
