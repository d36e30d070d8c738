package fireflyhinge.daemon.config

import fireflyhinge.config.ConfigSync
import fireflyhinge.config.ConfigSyncRequest
import fireflyhinge.config.ConfigSyncResponse
import fireflyhinge.membership.ConfigSyncListener
import fireflyhinge.membership.MemberState
import fireflyhinge.membership.Membership
import fireflyhinge.peer.PeerResult
import fireflyhinge.peer.PeerTransport
import fireflyhinge.store.StoredObject
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import kotlin.random.Random

/** Spreads configuration between daemons: pushes of new objects and comparison of copies. */
internal class ConfigPeers(
    private val settings: ConfigSettings,
    private val holder: ConfigHolder,
    private val membership: Membership,
    private val transport: PeerTransport,
    private val syncListener: ConfigSyncListener,
    private val random: Random,
) : AutoCloseable {
    private val workers = Executors.newCachedThreadPool { Thread(it, "config-peer").apply { isDaemon = true } }
    private val comparing = ConcurrentHashMap.newKeySet<String>()

    /** Answers `POST /peer/v1/config`. */
    fun onMessage(message: ConfigSyncRequest): ConfigSyncResponse {
        offer(message.objects)
        return ConfigSync.respond(holder.copy, message).copy(current = !membership.isolated())
    }

    /** Merges [objects] and passes those that were new on to three random peers. */
    fun offer(objects: List<StoredObject>) {
        val changed = holder.merge(objects)
        if (changed.isEmpty()) return
        val message = ConfigSyncRequest(from = membership.self().id, objects = changed)
        livePeers().shuffled(random).take(PUSH_PEERS).forEach { peer -> submit { send(peer, message) } }
    }

    /** Compares with [peer] in the background unless a comparison with it is running. */
    fun compareLater(peer: String) {
        if (!comparing.add(peer)) return
        val accepted =
            submit {
                try {
                    compare(peer)
                } finally {
                    comparing.remove(peer)
                }
            }
        if (!accepted) comparing.remove(peer)
    }

    /** Exchanges differences with [peer] (a VM id or a seed address); returns whether no difference was left. */
    fun compare(peer: String): Boolean {
        val began = syncListener.begin()
        val from = membership.self().id
        var current = true
        var next: ConfigSyncRequest? = ConfigSync.firstRequest(holder.copy, from)
        repeat(ConfigSync.MAX_REQUESTS) {
            val answer = next?.let { send(peer, it) ?: return false } ?: return@repeat
            offer(answer.objects)
            current = current && answer.current
            next = ConfigSync.nextRequest(holder.copy, answer, from)
        }
        if (next == null) syncListener.onCompared(peer, current, began)
        return next == null
    }

    /** Compares with peers until this VM has caught up; returns whether it has. */
    fun catchUp(): Boolean =
        livePeers().shuffled(random).take(CATCH_UP_PEERS).any {
            compare(it)
            !membership.isolated()
        }

    /** Reads the configuration from any peer or seed; returns whether one answered. */
    fun compareWithAny(): Boolean =
        (livePeers().shuffled(random).take(PUSH_PEERS) + settings.seeds.shuffled(random)).any(::compare)

    override fun close() {
        workers.shutdownNow()
    }

    private fun send(peer: String, message: ConfigSyncRequest): ConfigSyncResponse? =
        when (
            val result =
                transport.post(peer, PATH, message, ConfigSyncResponse::class.java, settings.peerTimeoutMillis)
        ) {
            is PeerResult.Ok -> result.value
            else -> null
        }

    private fun livePeers(): List<String> {
        val self = membership.self().id
        return membership.members()
            .filter { it.id != self && (it.state == MemberState.LIVE || it.state == MemberState.DRAINING) }
            .map { it.id }
    }

    /** Work that arrives while the daemon shuts down is dropped. */
    private fun submit(action: () -> Unit): Boolean =
        try {
            workers.execute(action)
            true
        } catch (_: RejectedExecutionException) {
            false
        }

    companion object {
        /** Path of the configuration messages. */
        const val PATH = "/peer/v1/config"

        private const val PUSH_PEERS = 3

        /** Bounds one attempt; in a small fleet it is everyone. */
        private const val CATCH_UP_PEERS = 16
    }
}
