package fireflyhinge.soak

/** Writes the settings file of one gateway in the platform's format. */
internal class GatewaySettings(private val seeds: List<GatewayAddress>) {
    fun text(own: GatewayAddress, store: String, firstStart: Boolean): String =
        """
        nodeName=vm-${own.index}
        role=gateway
        bindIp=${own.host}
        zone=${ZONES[own.index % ZONES.size]}
        region=r1
        ${ZONES.joinToString("\n        ") { "zones.$it=r1" }}
        listen.front=${own.host}:${own.front}
        listen.ready=${own.host}:${own.ready}
        listen.control=${own.host}:${own.control}
        listen.directory=${own.host}:${own.directory}
        seedNodes=${seeds.joinToString(",") { "${it.host}:${it.control}" }}
        bootstrap=$firstStart
        bounds.contactMs=${Ledger.CONTACT_MILLIS}
        bounds.graceS=${GatewayProcess.GRACE_SECONDS}
        bounds.configApplyMs=${Ledger.CONFIG_APPLY_MILLIS}
        bounds.retryBudget=0.2
        bounds.budgetWindowS=10
        bounds.budgetSlack=56
        bounds.quotaWindowS=8
        bounds.quotaOverage=0.1
        bounds.quotaSlack=110000
        platform.addr=$store
        """.trimIndent()

    companion object {
        val ZONES = listOf("north", "south")
    }
}
