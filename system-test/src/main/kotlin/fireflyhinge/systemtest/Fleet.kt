package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.config.Template
import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.config.Workspace
import fireflyhinge.config.WorkspaceParameters
import fireflyhinge.daemon.store.HttpStore
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.VmEntry
import fireflyhinge.store.WriteCondition
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** A fleet of daemons and stand-ins, each a process of its own on loopback. [close] ends all of them. */
class Fleet(
    val spec: FleetSpec,
    val directory: Path = Files.createTempDirectory("fireflyhinge-fleet"),
) : AutoCloseable {
    private val http = OkHttpClient.Builder().readTimeout(30, TimeUnit.SECONDS).build()

    /** The platform store. */
    lateinit var store: ManagedProcess
        private set

    /** Engines and plain services by name. */
    var upstreams: Map<String, ManagedProcess> = emptyMap()
        private set

    /** Daemons by VM id. */
    var daemons: Map<String, ManagedProcess> = emptyMap()
        private set

    /** A client of the store. */
    val objects: HttpStore by lazy { HttpStore(storeAddress) }

    val storeAddress: String get() = store.address()

    /** Starts everything and waits until all daemons are ready and hold the configuration. */
    fun start(): Fleet {
        try {
            startProcesses()
            writeConfiguration()
            setVms(spec.vms.associate { it.id to false })
            awaitReady()
        } catch (e: IOException) {
            close()
            throw e
        }
        return this
    }

    /** Caller address of [vm]. */
    fun callerAddress(vm: String): String = daemons.getValue(vm).address()

    /** Control address of [vm]. */
    fun controlAddress(vm: String): String = daemons.getValue(vm).announcement["control"].asText()

    /** Puts the fleet's VMs into the platform's list at once; the value tells whether the VM is leaving. */
    fun setVms(leaving: Map<String, Boolean>) {
        val entries =
            spec.vms.filter { it.id in leaving }.map {
                VmEntry(
                    id = it.id,
                    region = it.region,
                    failureDomain = it.failureDomain,
                    callerAddress = callerAddress(it.id),
                    controlAddress = controlAddress(it.id),
                    leaving = leaving.getValue(it.id),
                )
            }
        post(storeAddress, "/control/vms?now=true", entries)
    }

    /** Starts the process of [vm] again on the same addresses. */
    fun restart(vm: String) {
        val old = daemons.getValue(vm)
        old.kill()
        val listen = old.announcement
        val spec = spec.vms.first { it.id == vm }
        val started = startDaemon(spec, listen["listening"].asText(), listen["control"].asText())
        daemons = daemons + (vm to started)
    }

    /** Posts [body] as JSON and returns the answer. */
    fun post(address: String, path: String, body: Any, token: String? = null): JsonNode? {
        val builder = Request.Builder().url("http://$address$path").post(Json.encode(body).toRequestBody())
        builder.header("Content-Type", "application/json")
        token?.let { builder.header("Authorization", "Bearer $it") }
        return send(builder.build())
    }

    /** Gets [path] and returns the JSON answer. */
    fun get(address: String, path: String, token: String? = null): JsonNode? {
        val builder = Request.Builder().url("http://$address$path")
        token?.let { builder.header("Authorization", "Bearer $it") }
        return send(builder.build())
    }

    /** Writes a configuration object, whatever its version is. */
    fun write(kind: String, name: String, value: Any): StoredObject {
        val id = ObjectName(kind, name)
        val current = objects.get(id)
        val condition =
            if (current is StoreResult.Ok) WriteCondition.AtVersion(current.value.version) else WriteCondition.Absent
        return when (val result = objects.put(id, Json.encode(value), condition)) {
            is StoreResult.Ok -> result.value
            else -> throw IOException("cannot write $id: $result")
        }
    }

    override fun close() {
        (daemons.values + upstreams.values).forEach { it.close() }
        if (::store.isInitialized) store.close()
    }

    private fun send(request: Request): JsonNode? =
        http.newCall(request).execute().use { response ->
            val text = response.body.string()
            if (!response.isSuccessful) throw IOException("${request.url}: status ${response.code}: $text")
            if (text.startsWith("{") || text.startsWith("[")) Json.mapper.readTree(text) else null
        }

    private fun startProcesses() {
        store = standin("store", listOf("store") + spec.storeArguments)
        val workers = Executors.newFixedThreadPool(START_THREADS)
        try {
            val engines = spec.engines.map { workers.submit(Callable { it.name to startUpstream(it) }) }
            upstreams = engines.associate { it.get() }
            val vms = spec.vms.map { workers.submit(Callable { it.id to startDaemon(it, ANY_PORT, ANY_PORT) }) }
            daemons = vms.associate { it.get() }
        } finally {
            workers.shutdown()
        }
    }

    private fun startUpstream(engine: EngineSpec): ManagedProcess {
        val kind =
            when (engine.role) {
                UpstreamRole.SERVICE -> listOf("service", "--name", engine.name)
                else -> listOf("engine", "--role", engine.role.name.lowercase())
            }
        return standin(engine.name, kind + engine.arguments)
    }

    private fun startDaemon(vm: VmSpec, listen: String, control: String): ManagedProcess {
        val arguments =
            listOf("--vm", vm.id, "--region", vm.region, "--failure-domain", vm.failureDomain) +
                listOf("--listen", listen, "--control-listen", control, "--store", storeAddress) +
                spec.daemonArguments
        val secrets =
            mapOf("FIREFLYHINGE_PEER_TOKEN" to PEER_TOKEN, "FIREFLYHINGE_OPERATOR_TOKEN" to OPERATOR_TOKEN)
        return ManagedProcess.start(
            name = vm.id,
            command = JavaCommand.of("fireflyhinge.daemon.MainKt", arguments),
            directory = directory,
            environment = secrets,
        )
    }

    private fun standin(name: String, arguments: List<String>): ManagedProcess =
        ManagedProcess.start(name, JavaCommand.of("fireflyhinge.standin.StandinKt", arguments), directory)

    private fun writeConfiguration() {
        write("templates", TEMPLATE, Template(name = TEMPLATE))
        write("routes", spec.model, Route(spec.model, RouteKind.MODEL, service = spec.model))
        write(
            "routes",
            spec.service,
            Route(spec.service, RouteKind.SERVICE, service = spec.service, idempotent = spec.serviceIdempotent),
        )
        spec.engines.forEach { write("upstreams", it.name, upstream(it)) }
        spec.workspaces.forEach { write("workspaces", it.name, workspace(it)) }
    }

    private fun upstream(engine: EngineSpec): Upstream {
        val isService = engine.role == UpstreamRole.SERVICE
        return Upstream(
            name = engine.name,
            service = if (isService) spec.service else spec.model,
            role = engine.role,
            address = upstreams.getValue(engine.name).address(),
            region = engine.region,
            failureDomain = engine.failureDomain,
        )
    }

    /** The stored form of [workspace], with its key granted. */
    fun workspace(workspace: WorkspaceSpec): Workspace =
        Workspace(
            name = workspace.name,
            template = TEMPLATE,
            parameters =
                WorkspaceParameters(
                    rate = workspace.rate,
                    burst = workspace.burst,
                    models = listOf(spec.model, spec.service),
                    priority = workspace.priority,
                    regionShares = workspace.regionShares,
                ),
            keyHashes = setOf(sha256(workspace.key)),
        )

    private fun awaitReady() {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS)
        while (!spec.vms.all { ready(it.id) }) {
            if (System.nanoTime() > deadline) throw IOException("the daemons are not ready; logs are in $directory")
            Thread.sleep(POLL_MILLIS)
        }
    }

    private fun ready(vm: String): Boolean =
        try {
            get(controlAddress(vm), "/readyz")
            true
        } catch (_: IOException) {
            false
        }

    companion object {
        /** Operators' token of the daemons. */
        const val OPERATOR_TOKEN = "operator-secret"
        private const val PEER_TOKEN = "peer-secret"
        private const val TEMPLATE = "standard"
        private const val ANY_PORT = "127.0.0.1:0"
        private const val START_THREADS = 6
        private const val READY_SECONDS = 60L
        private const val POLL_MILLIS = 100L
    }
}

private fun ManagedProcess.address(): String = announcement["listening"].asText()

private fun sha256(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }
