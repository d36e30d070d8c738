package fireflyhinge.soak

import kotlin.random.Random

/** Carries out faults on a running [site]. */
internal class Injector(
    private val site: Site,
    keys: Keys,
    private val calm: Calm,
    private val troubles: Troubles,
) {
    private val changes = ConfigurationChanges(site.store, keys)

    /** Begins [fault], waits as long as it lasts, and ends it. */
    fun run(fault: Fault) {
        val touched =
            when (fault.kind) {
                FaultKind.STORE_DOWN, FaultKind.STORE_SLOW, FaultKind.STORE_RESTORE -> site.gateways.indices.toList()
                else -> listOf(fault.target % site.gateways.size)
            }
        if (!fault.kind.calm) touched.forEach(calm::begin)
        try {
            inject(fault)
        } finally {
            if (!fault.kind.calm) touched.forEach(calm::end)
        }
    }

    private fun inject(fault: Fault) {
        val gateway = fault.target % site.gateways.size
        when (fault.kind) {
            FaultKind.GATEWAY_KILL -> restart(gateway, fault.millis, Troubles.gateway(gateway)) { kill() }
            FaultKind.GATEWAY_TERM ->
                restart(gateway, fault.millis, Troubles.stopped(gateway), STOPPING_MILLIS) {
                    troubles.during(Troubles.stopping(gateway)) { stop() }
                }
            FaultKind.GATEWAY_PAUSE -> troubles.during(Troubles.gateway(gateway)) { pause(gateway, fault.millis) }
            FaultKind.STORE_DOWN -> store(StoreMode.DOWN, fault.millis)
            FaultKind.STORE_SLOW -> store(StoreMode.SLOW, fault.millis)
            FaultKind.STORE_LINK -> link(site.storeLinks[gateway], fault)
            FaultKind.STORE_RESTORE -> restoreStore(fault)
            FaultKind.REPLICA_LINK -> {
                val index = fault.target % site.replicaLinks.size
                troubles.during(site.replicas[index].id) { link(site.replicaLinks[index], fault) }
            }
            FaultKind.KEYS_CHANGE -> changes.replaceKey()
            FaultKind.CONFIG_CHANGE -> changes.change(Random(fault.at))
            FaultKind.SETTINGS_CHANGE -> changeSettings(gateway, fault)
            FaultKind.ODD_ENTRY -> addEntry(fault)
        }
    }

    private fun restart(
        index: Int,
        millis: Long,
        trouble: String,
        owingMillis: Long = 0,
        end: GatewayProcess.() -> Unit,
    ) {
        val gateway = site.gateways[index]
        synchronized(gateway) {
            troubles.during(trouble, owingMillis) {
                gateway.end()
                Thread.sleep(millis)
                site.start(index, firstStart = false)
            }
        }
        site.awaitReady(index)
    }

    private fun pause(index: Int, millis: Long) {
        site.gateways[index].signal("STOP")
        Thread.sleep(millis)
        site.gateways[index].signal("CONT")
    }

    private fun store(mode: StoreMode, millis: Long) {
        site.store.mode = mode
        Thread.sleep(millis)
        site.store.mode = StoreMode.SOUND
    }

    /** The backup is as old as the fault lasts. Faults of this kind follow one another, as restores do. */
    private fun restoreStore(fault: Fault) =
        synchronized(site.store) {
            site.store.objects.takeBackup()
            Thread.sleep(fault.millis)
            store(StoreMode.DOWN, OUTAGE_MILLIS)
            site.store.objects.restore()
            Thread.sleep(Random(fault.at).nextLong(REWRITE_MILLIS))
            site.store.objects.rewriteLost(setOf("config", "servers"))
            // Gateways hold restored state back for a time that counts from when they learn of the restore.
            Thread.sleep(Ledger.CONTACT_MILLIS)
        }

    private fun link(link: Link, fault: Fault) {
        link.set(fault.mode)
        Thread.sleep(fault.millis)
        link.set(LinkMode.SOUND)
    }

    /** A process that does not count as ready may not handle SIGHUP yet. */
    private fun changeSettings(index: Int, fault: Fault) {
        val gateway = site.gateways[index]
        synchronized(gateway) {
            if (!site.ready(index)) return
            site.rewrite(index, note = fault.at)
            if (fault.millis % 2 == 0L) gateway.signal("HUP")
        }
    }

    private fun addEntry(fault: Fault) {
        val name = "odd-${fault.at}"
        site.store.putText("servers", name, OddEntry.entries.random(Random(fault.at)).text)
        Thread.sleep(fault.millis)
        site.store.remove("servers", name)
    }

    companion object {
        /** For so long after SIGTERM a gateway must answer requests on open connections. */
        const val STOPPING_MILLIS = 2_000L

        /** Time for which a store that is restored refuses calls. */
        private const val OUTAGE_MILLIS = 300L

        /** Time within which writers write their objects again after a restore. */
        private const val REWRITE_MILLIS = 2_000L
    }
}
