package fireflyhinge.daemon.store

import fireflyhinge.Json
import fireflyhinge.address.HostPortValidator
import fireflyhinge.daemon.outbound.Exchange
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.store.ObjectName
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.VmEntry
import fireflyhinge.store.VmList
import fireflyhinge.store.WatchBatch
import fireflyhinge.store.WriteCondition
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/**
 * The platform store over HTTP. Reads are tried once more on a new connection; a write is sent at most once.
 *
 * @param address `host:port` of the store.
 * @param timeoutMillis limit of one attempt; a watch may take its waiting time longer.
 * @param watchKinds kinds that watches report; empty means all.
 */
class HttpStore(
    address: String,
    private val http: OutboundHttp,
    private val timeoutMillis: Long = 3_000,
    private val watchKinds: Set<String> = emptySet(),
) : Store {
    private val base = "http://$address/v1/".toHttpUrl()

    override fun get(name: ObjectName): StoreResult<StoredObject> = read(urlOf(name)) { Json.decode(it) }

    override fun list(kind: String): StoreResult<List<StoredObject>> =
        read(base.newBuilder().addPathSegment("objects").addPathSegment(kind).build()) {
            EntryReader.list(it, StoredObject::class.java).values
        }

    override fun vms(): StoreResult<VmList> =
        read(base.newBuilder().addPathSegment("vms").build()) {
            val entries = EntryReader.list(it, VmEntry::class.java, ::reachable)
            VmList(entries.values, entries.whole)
        }

    override fun watch(position: Long, waitMillis: Long): StoreResult<WatchBatch> {
        val url =
            base
                .newBuilder()
                .addPathSegment("watch")
                .addQueryParameter("since", "$position")
                .addQueryParameter("wait_ms", "$waitMillis")
                .addQueryParameter("kinds", watchKinds.joinToString(separator = ","))
                .build()
        return read(url = url, limitMillis = timeoutMillis + waitMillis, decode = EntryReader::watch)
    }

    override fun put(name: ObjectName, value: String, condition: WriteCondition): StoreResult<StoredObject> {
        val request = Request.Builder().url(urlOf(name)).put(value.toRequestBody(JSON))
        when (condition) {
            is WriteCondition.Absent -> request.header("If-None-Match", "*")
            is WriteCondition.AtVersion -> request.header("If-Match", "\"${condition.version}\"")
        }
        val exchange = http.exchange(request = request.build(), timeoutMillis = timeoutMillis, idempotent = false)
        return resultOf(exchange) { body ->
            StoredObject(name = name, version = Json.decode<Written>(body).version, value = value)
        }
    }

    private fun urlOf(name: ObjectName): HttpUrl =
        base.newBuilder().addPathSegment("objects").addPathSegment(name.kind).addPathSegments(name.name).build()

    private fun <T> read(url: HttpUrl, limitMillis: Long = timeoutMillis, decode: (String) -> T): StoreResult<T> {
        val request = Request.Builder().url(url).build()
        return resultOf(http.exchange(request = request, timeoutMillis = limitMillis, idempotent = true), decode)
    }

    private fun <T> resultOf(exchange: Exchange, decode: (String) -> T): StoreResult<T> =
        when (exchange) {
            is Exchange.Answered -> StoreReplies.resultOf(reply = exchange.reply, decode = decode)
            is Exchange.NotSent -> StoreResult.Unavailable(exchange.reason)
            is Exchange.NoAnswer -> StoreResult.Unknown(exchange.reason)
            is Exchange.Interrupted -> StoreResult.Unknown("interrupted")
        }

    private fun reachable(entry: VmEntry) =
        HostPortValidator.isValid(entry.callerAddress) && HostPortValidator.isValid(entry.controlAddress)

    /** The store's answer to a write. */
    private data class Written(val version: Long)

    private companion object {
        val JSON = "application/json".toMediaType()
    }
}
