package fireflyhinge.schedule

import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.peer.PlaceRequest

/** The replicas of a cell. Replicas that left the configuration stay known while tickets are bound to them. */
internal class CellReplicas(private val settings: SchedulerSettings) {
    private val byName = LinkedHashMap<String, Replica>()

    /** All replicas. */
    val all: Collection<Replica> get() = byName.values

    /** Prefill replicas. */
    val prefill: List<PrefillReplica> get() = byName.values.filterIsInstance<PrefillReplica>()

    /** Decode replicas. */
    val decode: List<DecodeReplica> get() = byName.values.filterIsInstance<DecodeReplica>()

    /** The replica with this name, or null. */
    operator fun get(name: String): Replica? = byName[name]

    /** Applies a new configuration. */
    fun configure(upstreams: List<Upstream>) {
        val present = upstreams.associateBy { it.name }
        byName.values.removeIf { it.name !in present || it.upstream.address != present[it.name]?.address }
        upstreams.forEach { upstream ->
            val known = byName[upstream.name]
            when {
                known == null -> byName[upstream.name] = create(upstream)
                // The replica must not get work in its new role until the engine reports that role.
                known.upstream.role != upstream.role ->
                    byName[upstream.name] = create(upstream).apply { excluded = true }
                else -> known.upstream = upstream
            }
        }
    }

    /** Prefill replicas that may take [request]. */
    fun prefillFor(request: PlaceRequest): List<PrefillReplica> = prefill.usable(request)

    /** Decode replicas that may take [request]. */
    fun decodeFor(request: PlaceRequest): List<DecodeReplica> = decode.usable(request)

    /** Binds a new ticket to its replicas and reserves their links. */
    fun bind(ticket: Ticket, choice: PlacementChoice.Place, now: Long) {
        choice.decode.bind(ticket)
        choice.prefill.assign(ticket, choice.prefillEnd)
        listOf(choice.prefill, choice.decode).forEach {
            it.link.reserve(start = choice.transferStart, duration = choice.transferMillis, now = now)
        }
    }

    /** Binds the slot of a ticket that another owner issued. */
    fun adopt(ticket: Ticket) {
        (byName[ticket.placed.decodeReplica] as? DecodeReplica)?.bind(ticket)
        if (!ticket.prefillDone) byName[ticket.placed.prefillReplica]?.suspects?.add(ticket)
    }

    /** Frees what [ticket] holds. If it has [expired], its slot stays occupied until the engine drops the request. */
    fun free(ticket: Ticket, expired: Boolean) {
        val decode = byName[ticket.placed.decodeReplica] as? DecodeReplica
        if (expired) decode?.expire(ticket) else decode?.release(ticket)
        (byName[ticket.placed.prefillReplica] as? PrefillReplica)?.release(ticket)
    }

    private fun create(upstream: Upstream): Replica =
        if (upstream.role == UpstreamRole.DECODE) {
            DecodeReplica(upstream, settings)
        } else {
            PrefillReplica(upstream, settings)
        }

    /** Replicas that accept [request]; those in its `avoid` set are used only if no other replica is available. */
    private fun <T : Replica> List<T>.usable(request: PlaceRequest): List<T> {
        val accepting = filter { it.accepts(request) }
        return if (all { it.name in request.avoid || !it.available }) {
            accepting
        } else {
            accepting.filter { it.name !in request.avoid }
        }
    }
}
