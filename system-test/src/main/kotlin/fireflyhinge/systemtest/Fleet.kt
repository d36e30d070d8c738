package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.daemon.store.HttpStore
import fireflyhinge.store.VmEntry
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** A fleet of daemons and stand-ins, each a process of its own on loopback. [close] ends all of them. */
class Fleet(
    val spec: FleetSpec,
    val directory: Path = Files.createTempDirectory("fireflyhinge-fleet"),
) : AutoCloseable {
    private val starter = ProcessStarter(spec, directory)
    private val http = JsonHttp()

    /** The platform store. */
    val store: ManagedProcess = starter.store()

    /** Engines and plain services by name. */
    val upstreams: Map<String, ManagedProcess> = starter.all(spec.engines) { starter.upstream(it) }

    /** Entries of the fleet's VMs in the platform's list, which has them before their daemons start. */
    private val entries: Map<String, VmEntry> = spec.vms.associate { it.id to entry(it) }

    /** Daemons by VM id. */
    var daemons: Map<String, ManagedProcess> = emptyMap()
        private set

    /** The configuration objects in the store. */
    val objects = FleetObjects(spec, HttpStore(store.listening, OutboundHttp()))

    /** Writes the configuration and waits until all daemons are ready. */
    fun start(): Fleet {
        objects.writeAll(upstreams.mapValues { it.value.listening })
        val first = spec.vms.filterNot { it.late }
        setVms(first.associate { it.id to false })
        daemons = starter.all(first) { starter.daemon(it, store.listening, entries.getValue(it.id)) }
        await("the daemons are not ready") { first.all { http.succeeds(controlAddress(it.id), "/readyz") } }
        return this
    }

    /** Caller address of [vm]. */
    fun callerAddress(vm: String): String = entries.getValue(vm).callerAddress

    /** Control address of [vm]. */
    fun controlAddress(vm: String): String = entries.getValue(vm).controlAddress

    /** Puts VMs into the platform's list at once; the value tells whether the VM is leaving. */
    fun setVms(leaving: Map<String, Boolean>) {
        val listed = leaving.map { (vm, leaves) -> entries.getValue(vm).copy(leaving = leaves) }
        http.post(store.listening, "/control/vms?now=true", listed)
    }

    /** Starts a process of [vm] on its addresses; an older one is killed. */
    fun restart(vm: String) {
        daemons[vm]?.kill()
        val started = starter.daemon(spec.vms.first { it.id == vm }, store.listening, entries.getValue(vm))
        daemons = daemons + (vm to started)
    }

    /** Sends a command to a stand-in's fault control. */
    fun control(process: ManagedProcess, path: String, body: Any = emptyMap<String, String>()): JsonNode? =
        http.post(process.listening, "/control/$path", body)

    /** Sets the counts of a stand-in to zero. */
    fun reset(process: ManagedProcess): JsonNode? = http.delete(process.listening, "/control/counts")

    /** Reads from a stand-in or from a daemon's control API. */
    fun read(address: String, path: String): JsonNode? = http.get(address, path, OPERATOR_TOKEN)

    /** Waits until [condition] holds, at most a minute. */
    fun await(failure: String, condition: () -> Boolean) {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS)
        while (!condition()) {
            if (System.nanoTime() > deadline) throw IOException("$failure; logs are in $directory")
            Thread.sleep(POLL_MILLIS)
        }
    }

    override fun close() = (daemons.values + upstreams.values + store).forEach { it.close() }

    companion object {
        /** Operators' token of the daemons. */
        const val OPERATOR_TOKEN = "operator-secret"
        internal const val PEER_TOKEN = "peer-secret"
        private const val AWAIT_SECONDS = 60L
        private const val POLL_MILLIS = 100L
    }
}
