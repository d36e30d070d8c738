package fireflyhinge.soak

import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.HttpURLConnection
import java.net.URL
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/** A store, replicas and gateways on loopback, with a link in front of each replica and of each gateway's store. */
internal class Site(
    plan: MischiefPlan,
    gatewayCount: Int,
    root: Path,
    folder: Path,
    ledger: Ledger,
    private val troubles: Troubles,
) : AutoCloseable {
    private class Place(val id: String, val service: String, val stage: String?)

    private val log = LoggerFactory.getLogger(javaClass)
    private val addresses = List(gatewayCount) { GatewayAddress(it) }
    private val settings = GatewaySettings(seeds = addresses)
    private val crashing = ConcurrentHashMap.newKeySet<Int>()

    val store = StoreStandin()
    val storeLinks = List(gatewayCount) { Link(store.port) }
    val replicas = PLACES.mapIndexed { index, place -> ReplicaStandin(place.id, ledger, plan) { crash(index) } }
    val replicaLinks = replicas.map { Link(it.port) }
    val gateways = addresses.map { GatewayProcess(it, RunLine.read(root, it.metrics), folder, ledger.violations) }

    /** Writes the first configuration with [keys], lists the replicas and starts the gateways. */
    fun open(keys: List<String>) {
        store.put("config", "main", Configuration().entry(version = 1, keys))
        PLACES.indices.forEach { list(it, startedAt = 0) }
        gateways.indices.forEach { start(it, firstStart = true) }
        gateways.indices.forEach { check(awaitReady(it)) { "gateway $it is not ready; see its log" } }
    }

    private fun list(index: Int, startedAt: Long) {
        val place = PLACES[index]
        val zone = GatewaySettings.ZONES[index % GatewaySettings.ZONES.size]
        val address = replicaLinks[index].address
        store.put("servers", place.id, Configuration.replica(place.service, address, zone, place.stage, startedAt))
    }

    /** Replica [index] crashes, and starts again after a while. */
    private fun crash(index: Int) {
        if (!crashing.add(index)) return
        thread(isDaemon = true, name = "crash") {
            troubles.during(replicas[index].id) {
                replicaLinks[index].crash(DOWN_MILLIS)
                list(index, System.currentTimeMillis())
            }
            crashing.remove(index)
        }
    }

    fun start(index: Int, firstStart: Boolean) =
        gateways[index].start(settings.text(addresses[index], storeLinks[index].address, firstStart))

    /** Changes the settings file of gateway [index] without a change of what it says. */
    fun rewrite(index: Int, note: Long) =
        gateways[index].rewrite(settings.text(addresses[index], storeLinks[index].address, false) + "\nnote=$note\n")

    /** Whether gateway [index] says within [READY_MILLIS] that it is ready. */
    fun awaitReady(index: Int): Boolean =
        (0 until READY_MILLIS / POLL_MILLIS).any { ready(index).also { if (!it) Thread.sleep(POLL_MILLIS) } }

    /** Whether gateway [index] says now that it is ready. */
    fun ready(index: Int): Boolean =
        try {
            val address = addresses[index]
            val call = URL("http://${address.host}:${address.ready}/-/readyz").openConnection() as HttpURLConnection
            call.readTimeout = POLL_MILLIS.toInt()
            call.responseCode == HttpURLConnection.HTTP_OK
        } catch (e: IOException) {
            log.debug("gateway {} is not ready: {}", index, e.message)
            false
        }

    override fun close() {
        gateways.forEach { it.signal("CONT") }
        gateways.forEach { it.stop() }
        (storeLinks + replicaLinks).forEach { it.close() }
        replicas.forEach { it.close() }
        store.close()
    }

    private companion object {
        const val READY_MILLIS = 20_000L
        const val POLL_MILLIS = 200L

        /** A replica that crashed is back after some seconds. */
        const val DOWN_MILLIS = 1_500L
        val PLACES =
            List(3) { Place("shop-$it", "shop", null) } +
                List(2) { Place("annex-$it", "annex", null) } +
                List(2) { Place("prefill-$it", "engine", "prefill") } +
                List(3) { Place("decode-$it", "engine", "decode") }
    }
}
