package fireflyhinge.gateway

import fireflyhinge.forward.ColdBounds
import fireflyhinge.forward.QuotaBounds
import fireflyhinge.forward.RetryBounds
import fireflyhinge.forward.StoreEras
import java.net.InetSocketAddress

/**
 * Settings of one gateway process.
 *
 * @property vm name of the VM.
 * @property failureDomain failure domain of the VM.
 * @property regions region of each failure domain.
 * @property front address for callers' requests.
 * @property discovery addresses for address lookups, readiness checks and metrics.
 * @property control address for messages of other VMs.
 * @property seeds control addresses of VMs that may be running; possibly outdated.
 * @property store address of the platform's store.
 * @property firstStart whether the whole system is started for the first time.
 * @property stopMillis milliseconds from SIGTERM until the process is killed.
 * @property contactMillis milliseconds after a restore of the store from which on the operator's objects are complete.
 * @property evacuationMillis milliseconds within which an evacuation must take effect; null in a fleet without them.
 */
data class GatewaySettings(
    val vm: String,
    val failureDomain: String,
    val regions: Map<String, String>,
    val front: InetSocketAddress,
    val discovery: List<InetSocketAddress>,
    val control: InetSocketAddress,
    val seeds: List<String>,
    val store: String,
    val firstStart: Boolean,
    val stopMillis: Long,
    val quota: QuotaBounds = QuotaBounds(),
    val retries: RetryBounds = RetryBounds(),
    val contactMillis: Long = StoreEras.DEFAULT_CONTACT_MILLIS,
    val cold: ColdBounds = ColdBounds(),
    val evacuationMillis: Long? = null,
)
