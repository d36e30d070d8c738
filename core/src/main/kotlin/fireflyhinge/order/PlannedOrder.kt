package fireflyhinge.order

import fireflyhinge.config.Upstream
import fireflyhinge.engine.EngineOrder

/**
 * An order to send now.
 *
 * @property disruptive whether the engine must not hold any request when the order is sent.
 */
data class PlannedOrder(val upstream: Upstream, val order: EngineOrder, val disruptive: Boolean)
