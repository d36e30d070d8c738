package fireflyhinge.gateway.fleet

import fireflyhinge.forward.CopyVersion
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.gateway.http.CallerRequest
import fireflyhinge.gateway.http.RequestHandler
import io.netty.handler.codec.http.QueryStringDecoder

/** Serves the copies of [feeds] on the control interface to VMs that wait for changes. */
internal class CopyFeedHandler(private val feeds: Map<StoreObjectKind, CopyFeed>, next: RequestHandler) :
    PrefixHandler(PATH, next) {
    override val contentType get() = "application/gzip"

    override suspend fun reply(request: CallerRequest): ByteArray? {
        val query = QueryStringDecoder(request.uri)
        val feed = feeds.entries.find { it.key.name == query.path().removePrefix(PATH) }?.value ?: return null
        val version = CopyVersion(query.number(REVISION), era = query.number(ERA))
        return feed.await(version) ?: EMPTY
    }

    private fun QueryStringDecoder.number(name: String): Long =
        parameters()[name]?.firstOrNull()?.toLongOrNull() ?: 0

    companion object {
        private const val PATH = "/peer/v1/changes/"
        private const val REVISION = "revision"
        private const val ERA = "era"

        /** Path to wait at for a copy of the objects of [kind] that is newer than [revision] of [era]. */
        fun path(kind: StoreObjectKind, revision: Long, era: Long): String =
            "$PATH${kind.name}?$REVISION=$revision&$ERA=$era"
    }
}
