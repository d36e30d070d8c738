package fireflyhinge.daemon.config

import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigDigest
import fireflyhinge.config.ConfigDigestSource
import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.ConfigSource
import fireflyhinge.config.ConfigSyncRequest
import fireflyhinge.membership.ConfigSyncListener
import fireflyhinge.membership.Membership
import fireflyhinge.peer.PeerEndpoint
import fireflyhinge.peer.PeerTransport
import fireflyhinge.store.Store
import fireflyhinge.store.StoredObject
import kotlin.random.Random

/**
 * Keeps this VM's copy of the configuration current. A new object arrives from the store's watch, which two daemons of
 * each region hold, from a peer's push or comparison, or from an operator's change through this daemon.
 */
class ConfigService(
    settings: ConfigSettings,
    store: Store,
    transport: PeerTransport,
    membership: Membership,
    syncListener: ConfigSyncListener,
    random: Random = Random.Default,
) : ConfigSource,
    ConfigDigestSource,
    AutoCloseable {
    private val holder = ConfigHolder()
    private val peers = ConfigPeers(settings, holder, membership, transport, syncListener, random)
    private val loop = ConfigLoop(settings, StoreWatch(settings, store, peers::offer), peers, membership, syncListener)

    /** Handlers of `POST /peer/v1/config` and `POST /peer/v1/versions`. */
    val endpoints: List<PeerEndpoint<*>> =
        listOf(
            PeerEndpoint(ConfigPeers.PATH, ConfigSyncRequest::class.java, peers::onMessage),
            PeerEndpoint(VersionsRequest.PATH, VersionsRequest::class.java, ::versions),
        )

    /** The copy that this VM holds. */
    val copy: ConfigCopy get() = holder.copy

    /** Starts the thread that loads the configuration and then follows the store. */
    fun start() = loop.start()

    /** Whether the configuration was read once, from the store or from a peer that held all of it. */
    fun ready(): Boolean = loop.loaded

    override fun current(): ConfigSnapshot = holder.copy.snapshot

    override fun onChange(listener: (ConfigSnapshot) -> Unit) = holder.onChange(listener)

    /**
     * Calls [listener] with the objects of [kind] held now and with each newer one, in the thread that applied it. It
     * must not block.
     */
    fun onObject(kind: String, listener: (StoredObject) -> Unit) = holder.onObject(kind, listener)

    /** Merges [objects], read from or confirmed by the store, and passes new ones on to peers. */
    fun offer(objects: List<StoredObject>) = peers.offer(objects)

    override fun digest(): ConfigDigest = holder.copy.digest

    override fun onMismatch(peer: String) = peers.compareLater(peer)

    override fun close() {
        loop.close()
        peers.close()
    }

    /** Versions of the objects that [request] names. */
    fun versions(request: VersionsRequest): VersionsAnswer =
        VersionsAnswer(request.objects.associate { it.toString() to (holder.copy.version(it) ?: 0) }, digest())
}
