package fireflyhinge.soak

/** Carries out faults on a running [site]. */
internal class Injector(private val site: Site, private val keys: Keys, private val calm: Calm) {
    private var version = 1L

    /** Begins [fault], waits as long as it lasts, and ends it. */
    fun run(fault: Fault) {
        val touched =
            when (fault.kind) {
                FaultKind.STORE_DOWN, FaultKind.STORE_SLOW -> site.gateways.indices.toList()
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
            FaultKind.GATEWAY_KILL -> restart(gateway, fault.millis) { kill() }
            FaultKind.GATEWAY_TERM -> restart(gateway, fault.millis) { stop() }
            FaultKind.GATEWAY_PAUSE -> pause(site.gateways[gateway], fault.millis)
            FaultKind.STORE_DOWN -> store(StoreMode.DOWN, fault.millis)
            FaultKind.STORE_SLOW -> store(StoreMode.SLOW, fault.millis)
            FaultKind.STORE_LINK -> link(site.storeLinks[gateway], fault)
            FaultKind.REPLICA_LINK -> link(site.replicaLinks[fault.target % site.replicaLinks.size], fault)
            FaultKind.KEYS_CHANGE -> changeKeys()
        }
    }

    private fun restart(index: Int, millis: Long, end: GatewayProcess.() -> Unit) {
        val gateway = site.gateways[index]
        synchronized(gateway) {
            gateway.end()
            Thread.sleep(millis)
            site.start(index, firstStart = false)
        }
        site.awaitReady(index)
    }

    private fun pause(gateway: GatewayProcess, millis: Long) {
        gateway.signal("STOP")
        Thread.sleep(millis)
        gateway.signal("CONT")
    }

    private fun store(mode: StoreMode, millis: Long) {
        site.store.mode = mode
        Thread.sleep(millis)
        site.store.mode = StoreMode.SOUND
    }

    private fun link(link: Link, fault: Fault) {
        link.set(fault.mode)
        Thread.sleep(fault.millis)
        link.set(LinkMode.SOUND)
    }

    /** Writes a configuration with a new key and without the one before; the platform's writes never fail. */
    @Synchronized
    private fun changeKeys() {
        val old = keys.current
        site.store.put("config", "main", Configuration.entry(++version, listOf(Keys.LASTING, keys.next())))
        keys.withdrawn(old)
    }
}
