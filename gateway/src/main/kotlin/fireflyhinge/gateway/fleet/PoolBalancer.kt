package fireflyhinge.gateway.fleet

import fireflyhinge.forward.ForwardService
import fireflyhinge.forward.PoolSizes
import fireflyhinge.forward.StageMoves
import fireflyhinge.forward.StageOrder
import fireflyhinge.gateway.forward.ReplicaOrders
import fireflyhinge.gateway.http.nowMillis
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Moves replicas between the prefill and the decode pool while this VM leads the fleet. Other VMs hear of a move before
 * it begins, so that they do not send requests to a replica that changes its stage.
 */
internal class PoolBalancer(
    private val services: () -> Collection<ForwardService>,
    private val sizes: PoolSizes,
    private val moves: StageMoves,
    private val right: OrderRight,
    private val orders: ReplicaOrders,
    private val gossip: Gossip,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val looks = HashMap<String, Int>()
    private val restUntil = HashMap<String, Long>()

    /** Looks at the pools until cancelled. */
    suspend fun run() {
        while (true) {
            delay(LOOK_MILLIS)
            services().filter { it.memoryTokens > 0 }.forEach { look(it) }
        }
    }

    private suspend fun look(service: ForwardService) {
        val resting = nowMillis() < (restUntil[service.name] ?: Long.MIN_VALUE)
        val wanted = if (gossip.leads && !resting) sizes.wanted(service) else emptyList()
        val seen = if (wanted.isEmpty()) 0 else looks.getOrDefault(service.name, 0) + 1
        looks[service.name] = seen
        if (seen < STEADY_LOOKS || !right.mayClaim()) return
        looks -= service.name
        restUntil[service.name] = nowMillis() + REST_MILLIS
        move(service, wanted)
    }

    private suspend fun move(service: ForwardService, wanted: List<StageOrder>) {
        val texts = wanted.map { "${it.replica.id} ${it.stage}" }
        log.atInfo().addKeyValue("service", service.name).addKeyValue("orders", texts).log("pools change")
        wanted.forEach { moves.begin(it.replica.id, TOLD_MILLIS + service.switchMillis + BACK_MILLIS) }
        gossip.announce()
        delay(TOLD_MILLIS)
        val claimed = right.claim()
        coroutineScope {
            wanted.forEach { order ->
                launch {
                    val moving = claimed && orders.give(order, right.holder, right::token)
                    if (!moving) moves.undo(order.replica.id)
                }
            }
        }
    }

    private companion object {
        const val LOOK_MILLIS = 1_000L

        /** A move takes seconds; a replica that restarts or a short burst should not cause one. */
        const val STEADY_LOOKS = 3

        /** An order that was not answered may be carried out twelve seconds later. */
        const val REST_MILLIS = 15_000L

        /** Exchanges between VMs reach all of them in about this time. */
        const val TOLD_MILLIS = 1_000L

        /** Time for the platform's list to show the new stage. */
        const val BACK_MILLIS = 1_000L
    }
}
