package fireflyhinge.systemtest

import fireflyhinge.config.UpstreamRole
import fireflyhinge.store.VmEntry
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Starts the processes of a fleet. */
internal class ProcessStarter(private val spec: FleetSpec, private val directory: Path) {
    fun store(listen: String = ANY_PORT): ManagedProcess =
        standin("store", listOf("store", "--listen", listen) + spec.storeArguments)

    fun upstream(engine: EngineSpec, listen: String = ANY_PORT): ManagedProcess {
        val kind =
            when (engine.role) {
                UpstreamRole.SERVICE -> listOf("service", "--name", engine.name)
                else -> listOf("engine", "--role", engine.role.name.lowercase())
            }
        return standin(engine.name, kind + listOf("--listen", listen) + engine.arguments)
    }

    fun daemon(vm: VmSpec, storeAddress: String, entry: VmEntry): ManagedProcess =
        ManagedProcess.start(
            name = vm.id,
            command =
            JavaCommand.of(
                mainClass = "fireflyhinge.daemon.MainKt",
                arguments = daemonArguments(vm, storeAddress, entry),
                jvmArguments = vm.jvmArguments,
            ),
            directory = directory,
            environment = SECRETS,
        )

    /** Runs [start] for all [items] with a few threads and maps names to processes. */
    fun <T> all(items: List<T>, start: (T) -> ManagedProcess): Map<String, ManagedProcess> {
        val workers = Executors.newFixedThreadPool(THREADS)
        return try {
            items.map { workers.submit(Callable { start(it) }) }.map { it.get() }.associateBy { it.name }
        } finally {
            workers.shutdown()
        }
    }

    private fun daemonArguments(vm: VmSpec, store: String, entry: VmEntry): List<String> =
        listOf("--vm", vm.id, "--region", vm.region, "--failure-domain", vm.failureDomain) +
            listOf("--listen", entry.callerAddress, "--control-listen", entry.controlAddress, "--store", store) +
            spec.daemonArguments

    private fun standin(name: String, arguments: List<String>): ManagedProcess =
        ManagedProcess.start(name, JavaCommand.of("fireflyhinge.standin.StandinKt", arguments), directory)

    private companion object {
        const val ANY_PORT = "127.0.0.1:0"
        const val THREADS = 6
        val SECRETS =
            mapOf(
                "FIREFLYHINGE_PEER_TOKEN" to Fleet.PEER_TOKEN,
                "FIREFLYHINGE_OPERATOR_TOKEN" to Fleet.OPERATOR_TOKEN,
            )
    }
}
