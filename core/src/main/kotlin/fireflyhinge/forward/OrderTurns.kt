package fireflyhinge.forward

import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Decides when this VM may give orders to replicas, which do not check who gives them. A VM claims the right in the
 * platform's store, uses the claim for [VALID_MILLIS], and takes over from another VM only after that one's claim has
 * stayed unchanged for [pauseMillis] more. So the orders of two VMs are at least that far apart. Used by one coroutine.
 *
 * @param holder name of this VM's process; a restarted process is another holder.
 * @param wallMillis time of day; it goes on while a VM is suspended, which the monotonic clock does not.
 */
class OrderTurns(
    private val holder: String,
    private val pauseMillis: Long,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private var seen: OrderClaim? = null
    private var seenAt = 0L
    private var claimedAt = 0L
    private var claimedWall = 0L

    /** The claim seen last. */
    val claim: OrderClaim? get() = seen

    /** The store holds [claim], or none. */
    fun seen(claim: OrderClaim?) {
        if (claim == seen && seen != null) return
        seen = claim
        seenAt = clock.millis()
    }

    /** Whether this VM may claim the right to give orders, over the claim seen last. */
    fun mayClaim(): Boolean {
        val held = seen ?: return true
        return held.holder == holder || clock.millis() - seenAt >= VALID_MILLIS + pauseMillis
    }

    /** A claim is about to be sent; its time counts from here. */
    fun claiming() {
        claimedAt = clock.millis()
        claimedWall = wallMillis()
    }

    /** The fencing token of this VM's orders, or null if its claim was not confirmed or is too old. */
    fun token(): Long? {
        val held = seen?.takeIf { it.holder == holder } ?: return null
        val age = maxOf(clock.millis() - claimedAt, wallMillis() - claimedWall)
        return held.revision.takeIf { age < VALID_MILLIS }
    }

    private companion object {
        /** Orders follow a claim within milliseconds; a slow store takes part of a second. */
        const val VALID_MILLIS = 2_000L
    }
}
